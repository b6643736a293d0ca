package org.cornelramp.daemon.entry;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.cornelramp.core.call.PlainCall;
import org.cornelramp.core.key.KeyIndex;
import org.cornelramp.core.key.KeyRecord;
import org.cornelramp.core.key.KeyRecordCodec;
import org.cornelramp.core.model.Problem;
import org.cornelramp.core.model.ProblemKind;
import org.cornelramp.ports.LogClient;
import org.cornelramp.ports.LogStream;
import org.cornelramp.ports.PlatformException;

/**
 * Binds keys that callers generated themselves to an agent, by records on the log. One append carries many records.
 *
 * <p>Confined to the router's thread. Invariants: one append is in flight at a time; a call starts only with the
 * binding that was read back, which may have been made by another entry; the result of an append whose answer was lost
 * is found by reading the log, never assumed.
 */
final class KeyBinder {
    private static final System.Logger LOG = System.getLogger(KeyBinder.class.getName());
    private static final int MAX_BATCH_SIZE = 500;
    private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(2);
    private static final Duration DEFAULT_RETRY_AFTER = Duration.ofSeconds(1);

    private final LogClient log;
    private final KeyStream stream;
    private final Router router;
    private final CallStarter starter;
    private final Consumer<Duration> bindTimeRecorder;
    private final int maxPending;
    private final Deque<PendingBinding> queue = new ArrayDeque<>();
    private final List<PendingBinding> appended = new ArrayList<>();
    private boolean appending;
    private Instant nextAt = Instant.MIN;

    /** Starts a call whose key was found bound. */
    interface CallStarter {
        void start(ServiceRequest call, KeyIndex.Binding binding, Optional<Problem> refusal, Instant now);
    }

    /**
     * @param maxPending maximum number of calls that wait for their binding
     * @param starter starts each call with its binding
     * @param bindTimeRecorder receives the time of each binding, from the arrival of its call
     */
    KeyBinder(
            LogClient log,
            KeyStream stream,
            Router router,
            int maxPending,
            CallStarter starter,
            Consumer<Duration> bindTimeRecorder) {
        this.bindTimeRecorder = bindTimeRecorder;
        this.log = log;
        this.stream = stream;
        this.router = router;
        this.starter = starter;
        this.maxPending = maxPending;
    }

    /**
     * Binds the key of a call and starts the call.
     *
     * @param bind the binding to propose
     * @param refusal why this entry refuses the call, if it does; the key is still bound, so that its agent can tell
     *     whether an earlier attempt ran
     */
    void bind(ServiceRequest call, KeyRecord.Bind bind, Optional<Problem> refusal, Instant now) {
        PendingBinding pending = new PendingBinding(
                call, bind, refusal, PlainCall.askAt(now, call.request().deadline()));
        if (startIfBound(pending, now)) {
            return;
        }
        if (pendingCount() >= maxPending) {
            router.deny(call, Refusals.overloaded("Too many keys wait to be bound."), now);
            return;
        }
        queue.add(pending);
        flush(now);
    }

    /** Starts a call whose key is bound already, and denies any other, since no key can be bound now. */
    void denyUnlessBound(ServiceRequest call, Problem reason, Instant now) {
        Optional<KeyIndex.Binding> found = stream.index()
                .binding(call.request().row().key().organisation(), call.key().orElseThrow());
        if (found.isPresent()) {
            starter.start(call, found.get(), Optional.empty(), now);
        } else {
            router.deny(call, reason, now);
        }
    }

    /** Returns the number of calls that wait for their binding. */
    int pendingCount() {
        return queue.size() + appended.size();
    }

    /** Starts the calls whose bindings have been read back. */
    void startBoundCalls(Instant now) {
        appended.removeIf(pending -> pending.offset < stream.index().nextOffset() && startIfBound(pending, now));
        queue.removeIf(pending -> startIfBound(pending, now));
    }

    /** Denies calls whose time to wait is over, and appends the queued bindings. */
    void tick(Instant now) {
        denyExpired(queue.iterator(), now);
        denyExpired(appended.iterator(), now);
        flush(now);
    }

    private void flush(Instant now) {
        if (appending || queue.isEmpty() || now.isBefore(nextAt)) {
            return;
        }
        List<PendingBinding> batch = new ArrayList<>();
        while (!queue.isEmpty() && batch.size() < MAX_BATCH_SIZE) {
            batch.add(queue.poll());
        }
        List<JsonNode> records = batch.stream()
                .map(pending -> KeyRecordCodec.write(pending.bind))
                .toList();
        appending = true;
        appended.addAll(batch);
        router.whenDone(
                log.append(LogStream.KEYS, records),
                (firstOffset, failure, at) -> appendCompleted(batch, firstOffset, failure, at));
    }

    private void appendCompleted(List<PendingBinding> batch, Long firstOffset, Throwable failure, Instant now) {
        appending = false;
        if (failure == null) {
            for (int i = 0; i < batch.size(); i++) {
                batch.get(i).offset = firstOffset + i;
            }
            startBoundCalls(now);
            stream.readToEnd(endReached -> {});
        } else {
            appendFailed(batch, failure, now);
        }
        flush(now);
    }

    private void appendFailed(List<PendingBinding> batch, Throwable failure, Instant now) {
        boolean hadNoEffect = failure instanceof PlatformException e
                && (e.kind() == PlatformException.Kind.REFUSED || e.kind() == PlatformException.Kind.NOT_SENT);
        if (!hadNoEffect) {
            resolveByReading(batch);
            return;
        }
        Duration wait = Duration.ofMillis(((PlatformException) failure).retryAfterMillis());
        boolean rateLimited = !wait.isZero() && wait.compareTo(MAX_RETRY_DELAY) <= 0;
        List<PendingBinding> toRetry =
                rateLimited ? batch.stream().filter(PendingBinding::tryRetry).toList() : List.of();
        if (!toRetry.isEmpty()) {
            nextAt = now.plus(wait);
            requeue(toRetry);
        }
        List<PendingBinding> denied =
                batch.stream().filter(pending -> !toRetry.contains(pending)).toList();
        if (!denied.isEmpty()) {
            LOG.log(System.Logger.Level.WARNING, "entry: keys were not bound; why=" + failure.getMessage());
            denyAll(denied, wait, now);
        }
    }

    /**
     * Resolves an append that may have taken effect although its answer was lost. A binding that is read back is used,
     * whichever entry made it. A key without one is appended again, which is safe because the first record wins.
     */
    private void resolveByReading(List<PendingBinding> batch) {
        stream.readToEnd(endReached -> router.runAfterCurrent(now -> {
            if (!endReached) {
                denyAll(batch, Duration.ZERO, now);
                return;
            }
            startBoundCalls(now);
            batch.removeIf(pending -> startIfBound(pending, now));
            requeue(batch);
            flush(now);
        }));
    }

    private void requeue(List<PendingBinding> batch) {
        for (int i = batch.size() - 1; i >= 0; i--) {
            if (appended.remove(batch.get(i))) {
                queue.addFirst(batch.get(i));
            }
        }
    }

    private void denyAll(List<PendingBinding> batch, Duration wait, Instant now) {
        for (PendingBinding pending : batch) {
            if (appended.remove(pending)) {
                router.deny(pending.call, unavailable(wait), now);
            }
        }
    }

    private void denyExpired(Iterator<PendingBinding> bindings, Instant now) {
        while (bindings.hasNext()) {
            PendingBinding pending = bindings.next();
            if (!now.isBefore(pending.giveUpAt)) {
                bindings.remove();
                router.deny(pending.call, unavailable(Duration.ZERO), now);
            }
        }
    }

    private static Problem unavailable(Duration wait) {
        return Problem.notRun(ProblemKind.LOG_UNAVAILABLE, "The log service did not accept the key's binding.")
                .withRetryAfter(wait.isZero() ? DEFAULT_RETRY_AFTER : wait);
    }

    private boolean startIfBound(PendingBinding pending, Instant now) {
        if (pending.started) {
            return true;
        }
        Optional<KeyIndex.Binding> found = stream.index().binding(pending.bind.organisation(), pending.bind.key());
        if (found.isEmpty()) {
            return false;
        }
        pending.started = true;
        bindTimeRecorder.accept(Duration.between(pending.call.request().arrived(), now));
        starter.start(pending.call, found.get(), pending.refusal, now);
        return true;
    }

    /** One call that waits for its binding. */
    private static final class PendingBinding {
        final ServiceRequest call;
        final KeyRecord.Bind bind;
        final Optional<Problem> refusal;
        final Instant giveUpAt;
        long offset = Long.MAX_VALUE;
        boolean started;
        private boolean retried;

        PendingBinding(ServiceRequest call, KeyRecord.Bind bind, Optional<Problem> refusal, Instant giveUpAt) {
            this.call = call;
            this.bind = bind;
            this.refusal = refusal;
            this.giveUpAt = giveUpAt;
        }

        /**
         * Returns true on the first invocation only, so that a call is retried once. A refusal with a short retry delay
         * is either a brief rate limit or the start of an outage. If a call were retried until its deadline, an outage
         * would leave no time to prove that it did not run, and its caller would get the outcome "unknown".
         */
        boolean tryRetry() {
            boolean first = !retried;
            retried = true;
            return first;
        }
    }
}
