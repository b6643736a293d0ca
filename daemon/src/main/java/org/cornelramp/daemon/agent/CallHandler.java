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
 * Admits calls to the plain service beside the agent, runs each at most once, and answers repeats from the ledger.
 *
 * <p>Confined to the agent's duty. Invariants: a call under a key reaches the service only after {@link Ledger#start}
 * said so; calls that wait are bounded; each call that was admitted is answered once on every link that asked.
 */
final class CallHandler {
    private static final System.Logger LOG = System.getLogger(CallHandler.class.getName());
    private static final int FRAME_ROOM = 1_024;
    private static final long BUSY_WAIT_MILLIS = 100;

    private final DaemonSettings settings;
    private final ServiceClient service;
    private final Completions completions;
    private final Supplier<Moment> clock;
    private final Function<String, Optional<Instant>> mintTime;
    private final CrashSuspects suspects;
    private final Ledger ledger;
    private final PriorityQueue<PendingCall> waiting = new PriorityQueue<>(
            Comparator.comparingInt((PendingCall c) -> c.invoke.priority()).thenComparingLong(c -> c.number));
    private final Map<String, PendingCall> byKey = new HashMap<>();
    private final Set<PendingCall> running = new HashSet<>();
    private final SpeedMeter speed = new SpeedMeter();
    private BackendWatch backend;
    /** Bodies of the calls that wait; a few thousand calls of the largest body would outgrow a small process. */
    private long waitingBytes;

    private int slots = 1;
    private long numbers;

    CallHandler(AgentServices services, Completions completions, Supplier<Moment> clock, CrashSuspects suspects) {
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

    /** Sets who is told of a service that refuses connections or loses answers. */
    void watch(BackendWatch watch) {
        this.backend = watch;
    }

    /** Sets how many calls run side by side. */
    void slots(int count) {
        slots = Math.max(1, count);
    }

    /**
     * Takes a call.
     *
     * @param refusal why no new work is taken now, if so
     */
    void invoke(Link link, Invoke invoke, Optional<KeyResult> refusal, Moment now) {
        Asker asker = new Asker(link, invoke.call());
        if (invoke.key().isEmpty() || invoke.bound().isEmpty()) {
            invokeUnkeyed(asker, invoke, refusal, now);
            return;
        }
        Optional<KeyRequest> request =
                request(invoke.key().get(), invoke.bound().get(), invoke.fingerprint());
        if (request.isEmpty()) {
            asker.answer(KeyResult.notRun(ProblemKind.KEY_MALFORMED, "The key does not show when it was minted", 0));
            return;
        }
        KeyVerdict verdict = ledger.admit(request.get(), now.instant());
        if (verdict instanceof KeyVerdict.Settled settled) {
            asker.answer(settled.result());
        } else if (verdict instanceof KeyVerdict.Wait) {
            byKey.get(invoke.key().get()).askers.add(asker);
        } else {
            admit(new PendingCall(invoke, asker, now, numbers++), refusal, now);
        }
    }

    private Optional<KeyRequest> request(String key, Incarnation bound, String fingerprint) {
        return mintTime.apply(key).map(minted -> new KeyRequest(key, bound, fingerprint, minted));
    }

    private void invokeUnkeyed(Asker asker, Invoke invoke, Optional<KeyResult> refusal, Moment now) {
        if (!invoke.idempotent()) {
            asker.answer(KeyResult.notRun(
                    ProblemKind.KEY_MISSING, "A call that may not be repeated came without a bound key", 0));
            return;
        }
        admit(new PendingCall(invoke, asker, now, numbers++), refusal, now);
    }

    private void admit(PendingCall call, Optional<KeyResult> refusal, Moment now) {
        call.key().ifPresent(key -> byKey.put(key, call));
        Optional<KeyResult> reason = refusal.or(() -> overload(call, now));
        if (reason.isPresent()) {
            endUnstarted(call, reason.get());
            return;
        }
        waiting.add(call);
        waitingBytes += call.invoke.body().length;
        pump(now);
    }

    private void leaveQueue(PendingCall call) {
        waitingBytes -= call.invoke.body().length;
    }

    /** Refuses at once what would wait beyond its deadline, while its caller can still go elsewhere. */
    private Optional<KeyResult> overload(PendingCall call, Moment now) {
        boolean tooLong = waiting.size() + running.size() >= settings.bounds().inProgress();
        boolean tooHeavy =
                waitingBytes + call.invoke.body().length > settings.bounds().frameBytes();
        if (tooLong || tooHeavy) {
            return Optional.of(KeyResult.notRun(
                    ProblemKind.OVERLOADED, "The agent's queue is full", expectedWait(waiting.size())));
        }
        int free = slots - running.size();
        long wait = free > 0 ? 0 : expectedWait(ahead(call));
        if (wait + speed.meanMicros() / 1_000 > now.millisTo(call.deadline)) {
            return Optional.of(KeyResult.notRun(
                    ProblemKind.DEADLINE_UNREACHABLE,
                    "The calls before it take longer than its deadline allows",
                    wait));
        }
        return Optional.empty();
    }

    private int ahead(PendingCall call) {
        int ahead = 0;
        for (PendingCall other : waiting) {
            if (other.invoke.priority() <= call.invoke.priority()) {
                ahead++;
            }
        }
        return ahead;
    }

    private long expectedWait(int ahead) {
        long mean = Math.max(speed.meanMicros() / 1_000, 1);
        return Math.max((ahead + 1L) * mean / slots, speed.meanMicros() == 0 ? BUSY_WAIT_MILLIS : 0);
    }

    private void pump(Moment now) {
        while (running.size() < slots && !waiting.isEmpty()) {
            PendingCall call = waiting.poll();
            leaveQueue(call);
            if (now.millisTo(call.deadline) <= 0) {
                endUnstarted(call, tooLate());
            } else if (call.key().isEmpty() || ledger.start(call.key().get())) {
                run(call, now);
            }
        }
    }

    private static KeyResult tooLate() {
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
        completions.call(() -> service.call(request), (reply, failure) -> ended(call, reply, failure));
    }

    /**
     * A call under a key is waited for beyond its caller's deadline: the caller may ask again with the same key, and
     * giving up early would turn an answer that is about to come into an unknown outcome.
     */
    private long timeoutMillis(PendingCall call, Moment now) {
        long left = Math.max(1, now.millisTo(call.deadline));
        return call.key().isPresent() ? Math.max(left, settings.timing().drainMillis()) : left;
    }

    private void ended(PendingCall call, ServiceReply reply, Throwable failure) {
        if (!running.remove(call)) {
            return;
        }
        Moment now = clock.get();
        if (failure == null) {
            speed.done(1, now.nanos() - call.startedAt, now.nanos());
        }
        end(call, failure == null ? whole(reply) : failed(failure));
        if (failure != null) {
            tellWatch(call, failure, now);
        }
        pump(now);
    }

    private void tellWatch(PendingCall call, Throwable failure, Moment now) {
        if (failure instanceof PlatformException e && e.kind() == PlatformException.Kind.NOT_SENT) {
            backend.refusedConnection();
        } else if (failure instanceof PlatformException e && e.kind() == PlatformException.Kind.ANSWER_LOST) {
            suspects.lostAnswer(call.invoke.fingerprint(), now);
            backend.askSoon();
        }
    }

    private KeyResult whole(ServiceReply reply) {
        if (reply.body().length + FRAME_ROOM > settings.bounds().frameBytes()) {
            return KeyResult.unknown(
                    ProblemKind.BACKEND_FAILED,
                    "The service's answer is larger than bounds.frameBytes allows, so its content is not known");
        }
        return KeyResult.answered(reply.status(), reply.contentType(), reply.body());
    }

    /**
     * A call that was not sent is recorded as one that never runs, too, though it could run once later: its caller is
     * told that it did not run, may book again under a new key, and a copy of this call must not run then.
     */
    private static KeyResult failed(Throwable failure) {
        if (!(failure instanceof PlatformException e)) {
            return KeyResult.unknown(ProblemKind.BACKEND_LOST, "The call failed in an unexpected way: " + failure);
        }
        return switch (e.kind()) {
            case NOT_SENT ->
                KeyResult.notRun(ProblemKind.BACKEND_FAILED, "The service could not be reached", e.retryAfterMillis());
            case REFUSED ->
                KeyResult.notRun(ProblemKind.BACKEND_FAILED, "The service refused the call", e.retryAfterMillis());
            case ANSWER_LOST ->
                KeyResult.unknown(ProblemKind.BACKEND_LOST, "The service took the call and gave no answer");
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
        call.key().ifPresent(byKey::remove);
        call.askers.forEach(asker -> asker.answer(result));
    }

    /** Says what became of a key, and sets it to never run if asked to and not started. */
    void settle(Link link, Settle settle, Moment now) {
        Asker asker = new Asker(link, settle.call());
        Optional<KeyRequest> request = request(settle.key(), settle.bound(), "");
        if (request.isEmpty()) {
            asker.answer(KeyResult.notRun(ProblemKind.KEY_MALFORMED, "The key does not show when it was minted", 0));
            return;
        }
        PendingCall pending = byKey.get(settle.key());
        KeyVerdict verdict = ledger.settle(request.get(), settle.cancel(), now.instant());
        if (verdict instanceof KeyVerdict.Settled settled) {
            asker.answer(settled.result());
            if (pending != null && ledger.state(settle.key()).equals(Optional.of(KeyState.TOMBSTONED))) {
                waiting.remove(pending);
                leaveQueue(pending);
                answer(pending, settled.result());
            }
            return;
        }
        pending.askers.add(asker);
        link.send(new Settled(settle.call()));
    }

    /**
     * The service has died: calls that were at it have an unknown outcome, and nobody else will say more.
     *
     * @return fingerprints of those calls
     */
    List<String> backendDied() {
        List<PendingCall> lost = new ArrayList<>(running);
        running.clear();
        List<String> fingerprints = new ArrayList<>();
        for (PendingCall call : lost) {
            fingerprints.add(call.invoke.fingerprint());
            end(call, KeyResult.unknown(ProblemKind.BACKEND_LOST, "The service died while the call was at it"));
        }
        return fingerprints;
    }

    /** Refuses all calls that wait. */
    void refuseWaiting(KeyResult reason) {
        List<PendingCall> calls = new ArrayList<>(waiting);
        waiting.clear();
        waitingBytes = 0;
        calls.forEach(call -> endUnstarted(call, reason));
    }

    /** Ends calls whose deadline has passed while they waited, and forgets old keys. */
    void tick(Moment now) {
        speed.age(now.nanos());
        List<PendingCall> late = new ArrayList<>();
        for (PendingCall call : waiting) {
            if (now.millisTo(call.deadline) <= 0) {
                late.add(call);
            }
        }
        waiting.removeAll(late);
        late.forEach(this::leaveQueue);
        late.forEach(call -> endUnstarted(call, tooLate()));
        ledger.expire(now.instant());
        pump(now);
    }

    /** The last word on each key; one that is still at the service counts as unknown. */
    List<Ledger.SettledKey> lastWords() {
        List<Ledger.SettledKey> words = new ArrayList<>(ledger.settled());
        for (PendingCall call : running) {
            call.key()
                    .ifPresent(key -> words.add(new Ledger.SettledKey(
                            key,
                            KeyResult.unknown(ProblemKind.BACKEND_LOST, "The agent stopped before the call ended"))));
        }
        return words;
    }

    int waitingCount() {
        return waiting.size();
    }

    int runningCount() {
        return running.size();
    }

    long meanMicros() {
        return speed.meanMicros();
    }

    boolean isIdle() {
        return waiting.isEmpty() && running.isEmpty();
    }

    Ledger ledger() {
        return ledger;
    }

    /** One link's wish to hear of a call. */
    private record Asker(Link link, long call) {
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
                // An answer that is dropped in silence would leave the entry waiting; on a new link it asks again.
                LOG.log(
                        System.Logger.Level.WARNING,
                        "agent: an answer found its link full; peer="
                                + link.peer().process());
                link.close("an answer found the link full");
            }
        }
    }

    /** A call that was admitted and has not ended. */
    private static final class PendingCall {
        final Invoke invoke;
        final long deadline;
        final long number;
        final List<Asker> askers = new ArrayList<>();
        long startedAt;

        PendingCall(Invoke invoke, Asker asker, Moment now, long number) {
            this.invoke = invoke;
            this.deadline = now.plusMillis(invoke.budgetMillis());
            this.number = number;
            askers.add(asker);
        }

        /** The key under which the call is in the ledger. */
        Optional<String> key() {
            return invoke.bound().isPresent() ? invoke.key() : Optional.empty();
        }
    }
}
