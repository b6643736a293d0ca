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
 * Binds callers' own keys by records on the log, many in one append.
 *
 * <p>Confined to the router's thread. Invariants: one append is on its way at a time; a call goes on only with the
 * binding that was read back, which may be that of another entry; an append whose answer was lost is settled by
 * reading, never by assuming.
 */
final class KeyBinder {
    private static final System.Logger LOG = System.getLogger(KeyBinder.class.getName());
    private static final int BATCH = 500;
    private static final Duration LONGEST_WAIT = Duration.ofSeconds(2);
    private static final Duration SOON = Duration.ofSeconds(1);

    private final LogClient log;
    private final KeyStream stream;
    private final Router router;
    private final Starter starter;
    private final Consumer<Duration> timer;
    private final int maxWaiting;
    private final Deque<Wanted> queue = new ArrayDeque<>();
    private final List<Wanted> appended = new ArrayList<>();
    private boolean appending;
    private Instant nextAt = Instant.MIN;

    /** Starts a call whose key was found bound. */
    interface Starter {
        void start(ServiceRequest call, KeyIndex.Binding binding, Optional<Problem> refusal, Instant now);
    }

    /**
     * @param maxWaiting most calls that wait for their binding
     * @param starter starts a call with its binding
     * @param timer told how long each binding took from the arrival of its call
     */
    KeyBinder(
            LogClient log, KeyStream stream, Router router, int maxWaiting, Starter starter, Consumer<Duration> timer) {
        this.timer = timer;
        this.log = log;
        this.stream = stream;
        this.router = router;
        this.starter = starter;
        this.maxWaiting = maxWaiting;
    }

    /**
     * Binds the key of a call and starts the call.
     *
     * @param bind the binding to propose
     * @param refusal why the call is refused here, if so; its key is bound all the same, so that its agent can say
     *     whether an earlier attempt ran
     */
    void bind(ServiceRequest call, KeyRecord.Bind bind, Optional<Problem> refusal, Instant now) {
        Wanted wanted = new Wanted(
                call, bind, refusal, PlainCall.askAt(now, call.request().deadline()));
        if (settleFromIndex(wanted, now)) {
            return;
        }
        if (waiting() >= maxWaiting) {
            router.deny(call, Refusals.overloaded("Too many keys wait to be bound."), now);
            return;
        }
        queue.add(wanted);
        flush(now);
    }

    /** Starts a call if its key is bound, and denies it otherwise, since nothing can be bound now. */
    void denyUnlessBound(ServiceRequest call, Problem reason, Instant now) {
        Optional<KeyIndex.Binding> found = stream.index()
                .binding(call.request().row().key().organisation(), call.key().orElseThrow());
        if (found.isPresent()) {
            starter.start(call, found.get(), Optional.empty(), now);
        } else {
            router.deny(call, reason, now);
        }
    }

    /** Calls that wait for their binding. */
    int waiting() {
        return queue.size() + appended.size();
    }

    /** Starts the calls whose bindings have been read back. */
    void progressed(Instant now) {
        appended.removeIf(wanted -> wanted.offset < stream.index().nextOffset() && settleFromIndex(wanted, now));
        queue.removeIf(wanted -> settleFromIndex(wanted, now));
    }

    /** Gives up on calls whose time is over, and appends what waits. */
    void tick(Instant now) {
        giveUpLate(queue.iterator(), now);
        giveUpLate(appended.iterator(), now);
        flush(now);
    }

    private void flush(Instant now) {
        if (appending || queue.isEmpty() || now.isBefore(nextAt)) {
            return;
        }
        List<Wanted> batch = new ArrayList<>();
        while (!queue.isEmpty() && batch.size() < BATCH) {
            batch.add(queue.poll());
        }
        List<JsonNode> records =
                batch.stream().map(wanted -> KeyRecordCodec.write(wanted.bind)).toList();
        appending = true;
        appended.addAll(batch);
        router.whenDone(log.append(LogStream.KEYS, records), (first, failure, at) -> took(batch, first, failure, at));
    }

    private void took(List<Wanted> batch, Long first, Throwable failure, Instant now) {
        appending = false;
        if (failure == null) {
            for (int i = 0; i < batch.size(); i++) {
                batch.get(i).offset = first + i;
            }
            progressed(now);
            stream.readToEnd(read -> {});
        } else {
            failed(batch, failure, now);
        }
        flush(now);
    }

    private void failed(List<Wanted> batch, Throwable failure, Instant now) {
        boolean hadNoEffect = failure instanceof PlatformException e
                && (e.kind() == PlatformException.Kind.REFUSED || e.kind() == PlatformException.Kind.NOT_SENT);
        if (!hadNoEffect) {
            settleByReading(batch);
            return;
        }
        Duration wait = Duration.ofMillis(((PlatformException) failure).retryAfterMillis());
        boolean rateLimited = !wait.isZero() && wait.compareTo(LONGEST_WAIT) <= 0;
        List<Wanted> again =
                rateLimited ? batch.stream().filter(Wanted::mayTryAgain).toList() : List.of();
        if (!again.isEmpty()) {
            nextAt = now.plus(wait);
            takeBack(again);
        }
        List<Wanted> denied = batch.stream().filter(one -> !again.contains(one)).toList();
        if (!denied.isEmpty()) {
            LOG.log(System.Logger.Level.WARNING, "entry: keys were not bound; why=" + failure.getMessage());
            denyAll(denied, wait, now);
        }
    }

    /**
     * The append may have taken effect although its answer was lost. A binding that is read back counts, whoever
     * made it; a key without one is appended again, which is harmless, since the first record wins.
     */
    private void settleByReading(List<Wanted> batch) {
        stream.readToEnd(read -> router.later(now -> {
            if (!read) {
                denyAll(batch, Duration.ZERO, now);
                return;
            }
            progressed(now);
            batch.removeIf(wanted -> settleFromIndex(wanted, now));
            takeBack(batch);
            flush(now);
        }));
    }

    private void takeBack(List<Wanted> batch) {
        for (int i = batch.size() - 1; i >= 0; i--) {
            if (appended.remove(batch.get(i))) {
                queue.addFirst(batch.get(i));
            }
        }
    }

    private void denyAll(List<Wanted> batch, Duration wait, Instant now) {
        for (Wanted wanted : batch) {
            if (appended.remove(wanted)) {
                router.deny(wanted.call, unavailable(wait), now);
            }
        }
    }

    private void giveUpLate(Iterator<Wanted> all, Instant now) {
        while (all.hasNext()) {
            Wanted wanted = all.next();
            if (!now.isBefore(wanted.giveUpAt)) {
                all.remove();
                router.deny(wanted.call, unavailable(Duration.ZERO), now);
            }
        }
    }

    private static Problem unavailable(Duration wait) {
        return Problem.notRun(ProblemKind.LOG_UNAVAILABLE, "The log service did not take the key's binding.")
                .withRetryAfter(wait.isZero() ? SOON : wait);
    }

    private boolean settleFromIndex(Wanted wanted, Instant now) {
        if (wanted.settled) {
            return true;
        }
        Optional<KeyIndex.Binding> found = stream.index().binding(wanted.bind.organisation(), wanted.bind.key());
        if (found.isEmpty()) {
            return false;
        }
        wanted.settled = true;
        timer.accept(Duration.between(wanted.call.request().arrived(), now));
        starter.start(wanted.call, found.get(), wanted.refusal, now);
        return true;
    }

    /** One call that waits for its binding. */
    private static final class Wanted {
        final ServiceRequest call;
        final KeyRecord.Bind bind;
        final Optional<Problem> refusal;
        final Instant giveUpAt;
        long offset = Long.MAX_VALUE;
        boolean settled;
        private boolean refusedBefore;

        Wanted(ServiceRequest call, KeyRecord.Bind bind, Optional<Problem> refusal, Instant giveUpAt) {
            this.call = call;
            this.bind = bind;
            this.refusal = refusal;
            this.giveUpAt = giveUpAt;
        }

        /**
         * A refusal with a short wait is a passing rate limit, or the start of an outage. Tried again until the
         * deadline, a call in an outage would be held that long, and no time would be left to prove that it did not
         * run: its caller would be told "unknown". So it is tried again once.
         */
        boolean mayTryAgain() {
            boolean first = !refusedBefore;
            refusedBefore = true;
            return first;
        }
    }
}
