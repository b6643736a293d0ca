package org.cornelramp.daemon.agent;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;
import org.cornelramp.core.ledger.KeyRequest;
import org.cornelramp.core.ledger.KeyResult;
import org.cornelramp.core.ledger.KeyState;
import org.cornelramp.core.ledger.KeyVerdict;
import org.cornelramp.core.ledger.Ledger;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.model.ProblemKind;
import org.cornelramp.core.settings.DaemonSettings;
import org.cornelramp.ports.PlatformException;
import org.cornelramp.ports.ServiceCall;
import org.cornelramp.ports.ServiceClient;
import org.cornelramp.ports.ServiceReply;
import org.cornelramp.wire.link.Link;
import org.cornelramp.wire.message.Invoke;
import org.cornelramp.wire.message.InvokeResult;
import org.cornelramp.wire.message.Settle;
import org.cornelramp.wire.message.Settled;

/**
 * Admits calls to the agent's plain service, runs each call under a key at most once, and answers repeats from the
 * ledger.
 *
 * <p>Confined to the agent's event loop thread. Invariants: a call under a key is sent to the service only after
 * {@link Ledger#start} has returned true; the number and size of waiting calls are bounded; each admitted call is
 * answered once on every link that requested it.
 */
final class CallHandler {
    private static final System.Logger LOG = System.getLogger(CallHandler.class.getName());
    private static final int FRAME_OVERHEAD_BYTES = 1_024;
    private static final long DEFAULT_WAIT_MILLIS = 100;

    private final DaemonSettings settings;
    private final ServiceClient service;
    private final CompletionDispatcher completions;
    private final Supplier<Moment> clock;
    private final Function<String, Optional<Instant>> mintTime;
    private final CrashSuspects suspects;
    private final Ledger ledger;
    private final PriorityQueue<PendingCall> waiting =
            new PriorityQueue<>(Comparator.comparingInt((PendingCall call) -> call.invoke.priority())
                    .thenComparingLong(call -> call.sequence));
    private final Map<String, PendingCall> pendingByKey = new HashMap<>();
    private final Set<PendingCall> running = new HashSet<>();
    private final ThroughputMeter throughput = new ThroughputMeter();
    private BackendMonitor backendMonitor;
    /**
     * Total size of the bodies of waiting calls. It is bounded, since a few thousand calls with the largest body would
     * exceed the memory of a small process.
     */
    private long waitingBytes;

    private int slots = 1;
    private long nextSequence;

    CallHandler(
            AgentServices services, CompletionDispatcher completions, Supplier<Moment> clock, CrashSuspects suspects) {
        this.settings = services.settings();
        this.service = services.service();
        this.completions = completions;
        this.clock = clock;
        this.mintTime = services.mintTime();
        this.suspects = suspects;
        this.ledger = new Ledger(
                services.incarnation(),
                Duration.ofMillis(settings.timing().keyWindowMillis()),
                settings.bounds().keys(),
                settings.bounds().frameBytes());
    }

    /** Sets the monitor that is notified when the service refuses connections or an answer is lost. */
    void setMonitor(BackendMonitor monitor) {
        this.backendMonitor = monitor;
    }

    /** Sets how many calls run concurrently. */
    void setSlots(int count) {
        slots = Math.max(1, count);
    }

    /**
     * Handles a call from an entry.
     *
     * @param refusal the reason why new work is refused now; empty if it is accepted
     */
    void invoke(Link link, Invoke invoke, Optional<KeyResult> refusal, Moment now) {
        Requester requester = new Requester(link, invoke.call());
        if (invoke.key().isEmpty() || invoke.bound().isEmpty()) {
            invokeUnkeyed(requester, invoke, refusal, now);
            return;
        }
        Optional<KeyRequest> request =
                request(invoke.key().get(), invoke.bound().get(), invoke.fingerprint());
        if (request.isEmpty()) {
            requester.answer(
                    KeyResult.notRun(ProblemKind.KEY_MALFORMED, "The key does not show when it was minted", 0));
            return;
        }
        KeyVerdict verdict = ledger.admit(request.get(), now.instant());
        if (verdict instanceof KeyVerdict.Settled settled) {
            requester.answer(settled.result());
        } else if (verdict instanceof KeyVerdict.Wait) {
            pendingByKey.get(invoke.key().get()).requesters.add(requester);
        } else {
            admit(new PendingCall(invoke, requester, now, nextSequence++), refusal, now);
        }
    }

    private Optional<KeyRequest> request(String key, Incarnation bound, String fingerprint) {
        return mintTime.apply(key).map(minted -> new KeyRequest(key, bound, fingerprint, minted));
    }

    private void invokeUnkeyed(Requester requester, Invoke invoke, Optional<KeyResult> refusal, Moment now) {
        if (!invoke.idempotent()) {
            requester.answer(KeyResult.notRun(
                    ProblemKind.KEY_MISSING, "A call that is not idempotent needs a key that is bound to an agent", 0));
            return;
        }
        admit(new PendingCall(invoke, requester, now, nextSequence++), refusal, now);
    }

    private void admit(PendingCall call, Optional<KeyResult> refusal, Moment now) {
        call.key().ifPresent(key -> pendingByKey.put(key, call));
        Optional<KeyResult> reason = refusal.or(() -> overload(call, now));
        if (reason.isPresent()) {
            endUnstarted(call, reason.get());
            return;
        }
        waiting.add(call);
        waitingBytes += call.invoke.body().length;
        startWaiting(now);
    }

    private void releaseQueuedBytes(PendingCall call) {
        waitingBytes -= call.invoke.body().length;
    }

    /** Refuses at once a call that would wait beyond its deadline, while its caller has time to go elsewhere. */
    private Optional<KeyResult> overload(PendingCall call, Moment now) {
        boolean tooMany = waiting.size() + running.size() >= settings.bounds().inProgress();
        boolean tooLarge =
                waitingBytes + call.invoke.body().length > settings.bounds().frameBytes();
        if (tooMany || tooLarge) {
            return Optional.of(KeyResult.notRun(
                    ProblemKind.OVERLOADED, "The agent's queue is full", expectedWait(waiting.size())));
        }
        int free = slots - running.size();
        long wait = free > 0 ? 0 : expectedWait(countAhead(call));
        if (wait + throughput.meanMicros() / 1_000 > now.millisTo(call.deadline)) {
            return Optional.of(KeyResult.notRun(
                    ProblemKind.DEADLINE_UNREACHABLE,
                    "The calls queued before it take longer than its deadline allows",
                    wait));
        }
        return Optional.empty();
    }

    private int countAhead(PendingCall call) {
        int ahead = 0;
        for (PendingCall other : waiting) {
            if (other.invoke.priority() <= call.invoke.priority()) {
                ahead++;
            }
        }
        return ahead;
    }

    private long expectedWait(int ahead) {
        long mean = Math.max(throughput.meanMicros() / 1_000, 1);
        return Math.max((ahead + 1L) * mean / slots, throughput.meanMicros() == 0 ? DEFAULT_WAIT_MILLIS : 0);
    }

    private void startWaiting(Moment now) {
        while (running.size() < slots && !waiting.isEmpty()) {
            PendingCall call = waiting.poll();
            releaseQueuedBytes(call);
            if (now.millisTo(call.deadline) <= 0) {
                endUnstarted(call, deadlinePassed());
            } else if (call.key().isEmpty() || ledger.start(call.key().get())) {
                run(call, now);
            }
        }
    }

    private static KeyResult deadlinePassed() {
        return KeyResult.notRun(ProblemKind.DEADLINE_PASSED, "The deadline passed before the call could start", 0);
    }

    private void run(PendingCall call, Moment now) {
        running.add(call);
        call.startedAt = now.nanos();
        Invoke invoke = call.invoke;
        ServiceCall request = new ServiceCall(
                invoke.method(),
                invoke.path(),
                invoke.contentType(),
                invoke.body(),
                invoke.key(),
                invoke.requestId(),
                timeoutMillis(call, now));
        completions.invoke(() -> service.call(request), (reply, failure) -> onCompleted(call, reply, failure));
    }

    /**
     * The timeout of a call under a key extends beyond its caller's deadline: the caller may repeat the call with the
     * same key, and an early timeout would replace an answer that is about to arrive by an unknown outcome.
     */
    private long timeoutMillis(PendingCall call, Moment now) {
        long left = Math.max(1, now.millisTo(call.deadline));
        return call.key().isPresent() ? Math.max(left, settings.timing().drainMillis()) : left;
    }

    private void onCompleted(PendingCall call, ServiceReply reply, Throwable failure) {
        if (!running.remove(call)) {
            return;
        }
        Moment now = clock.get();
        if (failure == null) {
            throughput.recordSample(1, now.nanos() - call.startedAt, now.nanos());
        }
        end(call, failure == null ? toResult(reply) : toFailureResult(failure));
        if (failure != null) {
            notifyMonitor(call, failure, now);
        }
        startWaiting(now);
    }

    private void notifyMonitor(PendingCall call, Throwable failure, Moment now) {
        if (failure instanceof PlatformException e && e.kind() == PlatformException.Kind.NOT_SENT) {
            backendMonitor.connectionRefused();
        } else if (failure instanceof PlatformException e && e.kind() == PlatformException.Kind.ANSWER_LOST) {
            suspects.recordLostAnswer(call.invoke.fingerprint(), now);
            backendMonitor.pollSoon();
        }
    }

    private KeyResult toResult(ServiceReply reply) {
        if (reply.body().length + FRAME_OVERHEAD_BYTES > settings.bounds().frameBytes()) {
            return KeyResult.unknown(
                    ProblemKind.BACKEND_FAILED,
                    "The service's answer is larger than bounds.frameBytes allows, so its content is not known");
        }
        return KeyResult.answered(reply.status(), reply.contentType(), reply.body());
    }

    /**
     * Also records a call that was not sent as one that never runs, though it could still run once: its caller learns
     * that it did not run and may repeat the operation under a new key, and a copy of this call must not run then.
     */
    private static KeyResult toFailureResult(Throwable failure) {
        if (!(failure instanceof PlatformException e)) {
            return KeyResult.unknown(ProblemKind.BACKEND_LOST, "The call failed with an unexpected error: " + failure);
        }
        return switch (e.kind()) {
            case NOT_SENT ->
                KeyResult.notRun(ProblemKind.BACKEND_FAILED, "The service could not be reached", e.retryAfterMillis());
            case REFUSED ->
                KeyResult.notRun(ProblemKind.BACKEND_FAILED, "The service refused the call", e.retryAfterMillis());
            case ANSWER_LOST ->
                KeyResult.unknown(ProblemKind.BACKEND_LOST, "The call was sent to the service but its answer was lost");
            case GONE, MALFORMED ->
                KeyResult.unknown(ProblemKind.BACKEND_FAILED, "The service's answer could not be read");
        };
    }

    private void end(PendingCall call, KeyResult result) {
        call.key().ifPresent(key -> ledger.finish(key, result));
        answer(call, result);
    }

    private void endUnstarted(PendingCall call, KeyResult result) {
        call.key().ifPresent(key -> ledger.tombstone(key, result));
        answer(call, result);
    }

    private void answer(PendingCall call, KeyResult result) {
        call.key().ifPresent(pendingByKey::remove);
        call.requesters.forEach(requester -> requester.answer(result));
    }

    /** Reports the result of a key. If the request cancels it, a key that has not started is set to never run. */
    void settle(Link link, Settle settle, Moment now) {
        Requester requester = new Requester(link, settle.call());
        Optional<KeyRequest> request = request(settle.key(), settle.bound(), "");
        if (request.isEmpty()) {
            requester.answer(
                    KeyResult.notRun(ProblemKind.KEY_MALFORMED, "The key does not show when it was minted", 0));
            return;
        }
        PendingCall pending = pendingByKey.get(settle.key());
        KeyVerdict verdict = ledger.settle(request.get(), settle.cancel(), now.instant());
        if (verdict instanceof KeyVerdict.Settled settled) {
            requester.answer(settled.result());
            if (pending != null && ledger.state(settle.key()).equals(Optional.of(KeyState.TOMBSTONED))) {
                waiting.remove(pending);
                releaseQueuedBytes(pending);
                answer(pending, settled.result());
            }
            return;
        }
        pending.requesters.add(requester);
        link.send(new Settled(settle.call()));
    }

    /**
     * Ends the running calls with an unknown outcome after the service has died: no other process knows their result.
     *
     * @return fingerprints of these calls
     */
    List<String> abandonRunning() {
        List<PendingCall> lost = new ArrayList<>(running);
        running.clear();
        List<String> fingerprints = new ArrayList<>();
        for (PendingCall call : lost) {
            fingerprints.add(call.invoke.fingerprint());
            end(call, KeyResult.unknown(ProblemKind.BACKEND_LOST, "The service died while the call was running"));
        }
        return fingerprints;
    }

    /** Refuses all waiting calls. */
    void refuseWaiting(KeyResult reason) {
        List<PendingCall> calls = new ArrayList<>(waiting);
        waiting.clear();
        waitingBytes = 0;
        calls.forEach(call -> endUnstarted(call, reason));
    }

    /** Ends calls whose deadline has passed while they waited, and forgets old keys. */
    void tick(Moment now) {
        throughput.expireStale(now.nanos());
        List<PendingCall> expired = new ArrayList<>();
        for (PendingCall call : waiting) {
            if (now.millisTo(call.deadline) <= 0) {
                expired.add(call);
            }
        }
        waiting.removeAll(expired);
        expired.forEach(this::releaseQueuedBytes);
        expired.forEach(call -> endUnstarted(call, deadlinePassed()));
        ledger.expire(now.instant());
        startWaiting(now);
    }

    /** The final result of each key; a call that is still running counts as unknown. */
    List<Ledger.SettledKey> finalResults() {
        List<Ledger.SettledKey> results = new ArrayList<>(ledger.settled());
        for (PendingCall call : running) {
            call.key()
                    .ifPresent(key -> results.add(new Ledger.SettledKey(
                            key,
                            KeyResult.unknown(ProblemKind.BACKEND_LOST, "The agent stopped before the call ended"))));
        }
        return results;
    }

    int waitingCount() {
        return waiting.size();
    }

    int runningCount() {
        return running.size();
    }

    long meanMicros() {
        return throughput.meanMicros();
    }

    boolean isIdle() {
        return waiting.isEmpty() && running.isEmpty();
    }

    Ledger ledger() {
        return ledger;
    }

    /** A link on which a call was requested, and the id of the call on that link. */
    private record Requester(Link link, long call) {
        void answer(KeyResult result) {
            InvokeResult message = new InvokeResult(
                    call,
                    result.outcome(),
                    result.kind(),
                    result.detail(),
                    result.retryAfterMillis(),
                    result.status(),
                    result.contentType(),
                    result.body());
            if (link.isOpen() && !link.send(message)) {
                // A silently dropped answer would leave the entry waiting; after reconnecting it asks again.
                LOG.log(
                        System.Logger.Level.WARNING,
                        "agent: closing a link whose buffer has no room for an answer; peer="
                                + link.peer().process());
                link.close("the link's buffer has no room for an answer");
            }
        }
    }

    /** A call that was admitted and has not ended. */
    private static final class PendingCall {
        final Invoke invoke;
        final long deadline;
        final long sequence;
        final List<Requester> requesters = new ArrayList<>();
        long startedAt;

        PendingCall(Invoke invoke, Requester requester, Moment now, long number) {
            this.invoke = invoke;
            this.deadline = now.plusMillis(invoke.budgetMillis());
            this.sequence = number;
            requesters.add(requester);
        }

        /** The key under which the call is in the ledger. */
        Optional<String> key() {
            return invoke.bound().isPresent() ? invoke.key() : Optional.empty();
        }
    }
}
