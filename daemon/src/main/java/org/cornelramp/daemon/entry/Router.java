package org.cornelramp.daemon.entry;

import java.time.Clock;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.cornelramp.core.call.AgentReply;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.model.Problem;
import org.cornelramp.daemon.kernel.Duty;
import org.cornelramp.wire.link.Link;
import org.cornelramp.wire.message.Heartbeat;
import org.cornelramp.wire.message.InvokeResult;
import org.cornelramp.wire.message.Message;
import org.cornelramp.wire.message.StageLost;
import org.cornelramp.wire.message.StageOpened;
import org.cornelramp.wire.message.StageRefused;
import org.cornelramp.wire.message.Token;

/**
 * The one thread of an entry that owns all that is known of agents, sessions and calls.
 *
 * <p>{@link #run}, {@link #must} and {@link #whenDone} may be called by any thread and never block; all else is
 * confined to the router's thread. Invariant: every request that was taken gets one final answer by its deadline.
 */
final class Router {
    private static final long TICK_MILLIS = 5;

    private final Clock clock;
    private final RandomGenerator random;
    private final Duty<Runnable> duty;
    private final Map<Long, ChatRun> chats = new HashMap<>();
    private final Map<Long, CallRun> calls = new HashMap<>();
    private final Map<Long, DenialRun> denials = new HashMap<>();
    private final Queue<Consumer<Instant>> urgent = new ConcurrentLinkedQueue<>();
    private final List<Consumer<Instant>> onTick = new ArrayList<>();
    private Parts parts;
    private Runnable readListSoon = () -> {};
    private volatile int inProgress;

    Router(Clock clock, int ringSlots, RandomGenerator random) {
        this.clock = clock;
        this.random = random;
        this.duty = new Duty<>("router", ringSlots, Runnable::run, this::tick, TICK_MILLIS);
    }

    /** Joins the parts that need the router themselves; called before the start. */
    void connect(Parts all, Runnable listReader) {
        parts = all;
        readListSoon = listReader;
    }

    /** What an operation of the platform came to; one of result and failure is null. */
    interface Completion<T> {
        void done(T result, Throwable failure, Instant now);
    }

    /** The thread that the kernel starts and stops. */
    Duty<Runnable> duty() {
        return duty;
    }

    /** Requests in progress now. */
    int inProgress() {
        return inProgress;
    }

    /** Adds something to do on the router's thread at each tick; called before the start. */
    void eachTick(Consumer<Instant> action) {
        onTick.add(action);
    }

    /** Runs an action on the router's thread; false when the ring is full. */
    boolean run(Consumer<Instant> action) {
        return duty.offer(() -> perform(action));
    }

    /**
     * Runs an action on the router's thread, at the latest at its next tick. Only for what is bounded by itself, such
     * as the end of an operation that the router began: losing it would leave the router waiting for ever.
     */
    void must(Consumer<Instant> action) {
        if (!run(action)) {
            urgent.add(action);
        }
    }

    /** Runs an action after the one that runs now. Called on the router's thread. */
    void later(Consumer<Instant> action) {
        urgent.add(action);
    }

    /** Hands the end of an operation over to the router's thread. */
    <T> void whenDone(CompletableFuture<T> operation, Completion<T> then) {
        CompletableFuture<T> unused = operation.whenComplete((result, failure) -> {
            Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
            must(now -> then.done(result, cause, now));
        });
    }

    /** Starts a chat completion; gives the number by which its caller's loss is told. */
    void startChat(long session, CallerRequest request, ChatRequest chat, String fingerprint, Instant now) {
        ChatRun run = new ChatRun(session, request, chat, fingerprint, parts);
        chats.put(session, run);
        run.start(now);
    }

    /** Starts a call, refused here or not. */
    void startCall(ServiceRequest call, Optional<Bound> bound, Optional<Problem> refusal, Instant now) {
        long number = random.nextLong();
        CallRun run = new CallRun(number, call, bound, parts, now);
        calls.put(number, run);
        if (refusal.isPresent()) {
            run.startRefused(refusal.get(), now);
        } else {
            run.start(now);
        }
    }

    /** Refuses a call whose key cannot be bound, and finds out whether it can be said not to have run. */
    void deny(ServiceRequest call, Problem reason, Instant now) {
        long number = random.nextLong();
        parts.ends()
                .decided(call.request(), now, "denied", "kind=" + reason.kind().text());
        DenialRun run = new DenialRun(number, call, reason, parts);
        denials.put(number, run);
        readListSoon.run();
        run.tick(now);
    }

    /** Refuses a request that nothing was done for. */
    void refuse(CallerRequest request, Problem problem, Instant now) {
        parts.ends().failed(request, problem, now);
        request.answer().problem(problem);
    }

    /** Requests in progress, counted on the router's thread. */
    int count() {
        return chats.size() + calls.size() + denials.size() + parts.waiting().size();
    }

    /** Tells a call what the log holds of its key. */
    void lookedUp(long call, Optional<AgentReply> word, Instant now) {
        CallRun run = calls.get(call);
        if (run != null) {
            run.lookedUp(word, now);
        }
    }

    void callerGone(long session, Instant now) {
        parts.waiting().cancel(session, now).ifPresent(request -> refuse(request, ChatRun.CALLER_GONE, now));
        onChat(session, run -> run.giveUp(ChatRun.CALLER_GONE, now));
    }

    void opened(Link link, Instant now) {
        if (!link.isOpen()) {
            // Its end may have overtaken this event; taken as new, it would stand for an agent without a link.
            return;
        }
        Optional<Incarnation> ended = parts.agents().opened(link, now);
        ended.ifPresent(agent -> gone(agent, now));
        Incarnation agent = link.peer().incarnation();
        calls.values().forEach(call -> call.linkOpened(agent, now));
    }

    void closed(Link link, String why, Instant now) {
        if (!parts.agents().closed(link)) {
            return;
        }
        Incarnation agent = link.peer().incarnation();
        parts.admission().lost(agent);
        calls.values().forEach(call -> call.linkLost(agent, now));
        denials.values().forEach(denial -> denial.linkLost(agent, now));
        chats.values().forEach(chat -> chat.unlinked(agent, "The link to a stage was lost: " + why, now));
    }

    void received(Link link, Message message, Instant now) {
        if (message instanceof Heartbeat beat) {
            parts.agents().heard(link.peer().incarnation(), beat, now);
            parts.admission().heard(link.peer().incarnation(), beat, now);
        } else if (message instanceof InvokeResult result) {
            said(link.peer().incarnation(), result, now);
        } else if (message instanceof StageOpened opened) {
            onChat(opened.session(), run -> run.on(opened, now));
        } else if (message instanceof StageRefused refused) {
            onChat(refused.session(), run -> run.on(refused, now));
        } else if (message instanceof StageLost lost) {
            onChat(lost.session(), run -> run.on(lost, now));
        } else if (message instanceof Token token) {
            onChat(token.session(), run -> run.on(token, now));
        }
    }

    private void said(Incarnation agent, InvokeResult result, Instant now) {
        CallRun call = calls.get(result.call());
        if (call != null) {
            call.said(AgentWords.of(result), now);
        }
        DenialRun denial = denials.get(result.call());
        if (denial != null) {
            denial.said(agent, AgentWords.of(result), now);
        }
    }

    private void gone(Incarnation agent, Instant now) {
        calls.values().forEach(call -> call.gone(agent, now));
        chats.values().forEach(chat -> chat.lost(agent, "A stage's agent was started anew.", now));
    }

    private void onChat(long session, Consumer<ChatRun> action) {
        ChatRun run = chats.get(session);
        if (run != null) {
            action.accept(run);
        }
    }

    private void perform(Consumer<Instant> action) {
        Instant now = clock.instant();
        action.accept(now);
        doUrgent(now);
        inProgress = count();
    }

    private void doUrgent(Instant now) {
        Consumer<Instant> action = urgent.poll();
        while (action != null) {
            action.accept(now);
            action = urgent.poll();
        }
    }

    private void tick() {
        Instant now = clock.instant();
        doUrgent(now);
        onTick.forEach(action -> action.accept(now));
        parts.waiting().tick(this::refuse, now);
        chats.values().forEach(chat -> chat.tick(now));
        calls.values().forEach(call -> call.tick(now));
        denials.values().forEach(denial -> denial.tick(now));
        doUrgent(now);
        chats.values().removeIf(ChatRun::isEnded);
        calls.values().removeIf(CallRun::isEnded);
        denials.values().removeIf(DenialRun::isEnded);
        inProgress = count();
    }
}
