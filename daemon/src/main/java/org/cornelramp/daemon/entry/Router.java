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
import org.cornelramp.daemon.kernel.EventLoop;
import org.cornelramp.wire.link.Link;
import org.cornelramp.wire.message.Heartbeat;
import org.cornelramp.wire.message.InvokeResult;
import org.cornelramp.wire.message.Message;
import org.cornelramp.wire.message.StageLost;
import org.cornelramp.wire.message.StageOpened;
import org.cornelramp.wire.message.StageRefused;
import org.cornelramp.wire.message.Token;

/**
 * The single thread of an entry that owns the state of agents, sessions and calls.
 *
 * <p>{@link #tryRun}, {@link #runReliably} and {@link #whenDone} may be called by any thread and never block;
 * everything else is confined to the router's thread. Invariant: every accepted request gets one final answer by its
 * deadline.
 */
final class Router {
    private static final long TICK_MILLIS = 5;

    private final Clock clock;
    private final RandomGenerator random;
    private final EventLoop<Runnable> eventLoop;
    private final Map<Long, ChatRun> chats = new HashMap<>();
    private final Map<Long, CallRun> calls = new HashMap<>();
    private final Map<Long, DenialRun> refusedCalls = new HashMap<>();
    private final Queue<Consumer<Instant>> deferred = new ConcurrentLinkedQueue<>();
    private final List<Consumer<Instant>> tickActions = new ArrayList<>();
    private RouterContext context;
    private Runnable requestVmListRead = () -> {};
    private volatile int inProgress;

    Router(Clock clock, int ringSlots, RandomGenerator random) {
        this.clock = clock;
        this.random = random;
        this.eventLoop = new EventLoop<>("router", ringSlots, Runnable::run, this::tick, TICK_MILLIS);
    }

    /** Sets the collaborators that need the router to be constructed. Called before the start. */
    void connect(RouterContext routerContext, Runnable listReader) {
        context = routerContext;
        requestVmListRead = listReader;
    }

    /** Receives the result of an asynchronous operation; either result or failure is null. */
    interface Completion<T> {
        void done(T result, Throwable failure, Instant now);
    }

    /** Returns the thread that the kernel starts and stops. */
    EventLoop<Runnable> eventLoop() {
        return eventLoop;
    }

    /** Returns the number of requests in progress, as of the last action or tick. */
    int inProgress() {
        return inProgress;
    }

    /** Adds an action that runs on the router's thread at each tick. Called before the start. */
    void addTickAction(Consumer<Instant> action) {
        tickActions.add(action);
    }

    /** Submits an action to the router's thread. Returns false if the ring is full. */
    boolean tryRun(Consumer<Instant> action) {
        return eventLoop.offer(() -> perform(action));
    }

    /**
     * Submits an action to the router's thread that must not be lost; it runs at the next tick at the latest. Only for
     * actions whose number is bounded otherwise, such as the end of an operation that the router started: if that were
     * lost, the router would wait forever.
     */
    void runReliably(Consumer<Instant> action) {
        if (!tryRun(action)) {
            deferred.add(action);
        }
    }

    /** Runs an action after the current one. Called on the router's thread. */
    void runAfterCurrent(Consumer<Instant> action) {
        deferred.add(action);
    }

    /** Passes the result of an operation to the router's thread. */
    <T> void whenDone(CompletableFuture<T> operation, Completion<T> completion) {
        CompletableFuture<T> unused = operation.whenComplete((result, failure) -> {
            Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
            runReliably(now -> completion.done(result, cause, now));
        });
    }

    /** Starts a chat completion. The session number identifies it in {@link #callerGone}. */
    void startChat(long session, CallerRequest request, ChatRequest chat, String fingerprint, Instant now) {
        ChatRun run = new ChatRun(session, request, chat, fingerprint, context);
        chats.put(session, run);
        run.start(now);
    }

    /**
     * Starts a call. A call with a refusal is not run; if it has a key, the key's agent is still asked about earlier
     * attempts.
     */
    void startCall(ServiceRequest call, Optional<BoundIncarnation> bound, Optional<Problem> refusal, Instant now) {
        long callId = random.nextLong();
        CallRun run = new CallRun(callId, call, bound, context, now);
        calls.put(callId, run);
        if (refusal.isPresent()) {
            run.startRefused(refusal.get(), now);
        } else {
            run.start(now);
        }
    }

    /** Refuses a call whose key cannot be bound, after finding out whether an earlier attempt may have run. */
    void deny(ServiceRequest call, Problem reason, Instant now) {
        long callId = random.nextLong();
        context.tracker()
                .recordDecision(
                        call.request(), now, "denied", "kind=" + reason.kind().text());
        DenialRun run = new DenialRun(callId, call, reason, context);
        refusedCalls.put(callId, run);
        requestVmListRead.run();
        run.tick(now);
    }

    /** Refuses a request for which nothing has been done. */
    void refuse(CallerRequest request, Problem problem, Instant now) {
        context.tracker().recordFailure(request, problem, now);
        request.answer().fail(problem);
    }

    /** Counts the requests in progress. Called on the router's thread. */
    int countInProgress() {
        return chats.size()
                + calls.size()
                + refusedCalls.size()
                + context.chatQueue().size();
    }

    /** Passes to a call what the log holds for its key. */
    void lookupCompleted(long callId, Optional<AgentReply> reply, Instant now) {
        CallRun run = calls.get(callId);
        if (run != null) {
            run.lookupCompleted(reply, now);
        }
    }

    void callerGone(long session, Instant now) {
        context.chatQueue().cancel(session, now).ifPresent(request -> refuse(request, ChatRun.CALLER_GONE, now));
        withChat(session, run -> run.giveUp(ChatRun.CALLER_GONE, now));
    }

    void linkOpened(Link link, Instant now) {
        if (!link.isOpen()) {
            // The end of the link may have been processed before this event. Registering the link now would leave an
            // agent with a dead link.
            return;
        }
        Optional<Incarnation> ended = context.agents().linkOpened(link, now);
        ended.ifPresent(agent -> incarnationEnded(agent, now));
        Incarnation agent = link.peer().incarnation();
        calls.values().forEach(call -> call.linkOpened(agent, now));
    }

    void linkClosed(Link link, String why, Instant now) {
        if (!context.agents().linkClosed(link)) {
            return;
        }
        Incarnation agent = link.peer().incarnation();
        context.admission().linkLost(agent);
        calls.values().forEach(call -> call.linkLost(agent, now));
        refusedCalls.values().forEach(refusedCall -> refusedCall.linkLost(agent, now));
        chats.values().forEach(chat -> chat.linkLost(agent, "The link to a stage was lost: " + why, now));
    }

    void messageReceived(Link link, Message message, Instant now) {
        if (message instanceof Heartbeat heartbeat) {
            context.agents().heartbeatReceived(link.peer().incarnation(), heartbeat, now);
            context.admission().heartbeatReceived(link.peer().incarnation(), heartbeat, now);
        } else if (message instanceof InvokeResult result) {
            replyReceived(link.peer().incarnation(), result, now);
        } else if (message instanceof StageOpened opened) {
            withChat(opened.session(), run -> run.handle(opened, now));
        } else if (message instanceof StageRefused refused) {
            withChat(refused.session(), run -> run.handle(refused, now));
        } else if (message instanceof StageLost lost) {
            withChat(lost.session(), run -> run.handle(lost, now));
        } else if (message instanceof Token token) {
            withChat(token.session(), run -> run.handle(token, now));
        }
    }

    private void replyReceived(Incarnation agent, InvokeResult result, Instant now) {
        CallRun call = calls.get(result.call());
        if (call != null) {
            call.replyReceived(AgentReplies.from(result), now);
        }
        DenialRun refusedCall = refusedCalls.get(result.call());
        if (refusedCall != null) {
            refusedCall.replyReceived(agent, AgentReplies.from(result), now);
        }
    }

    private void incarnationEnded(Incarnation agent, Instant now) {
        calls.values().forEach(call -> call.incarnationEnded(agent, now));
        chats.values().forEach(chat -> chat.incarnationEnded(agent, "A stage's agent was restarted.", now));
    }

    private void withChat(long session, Consumer<ChatRun> action) {
        ChatRun run = chats.get(session);
        if (run != null) {
            action.accept(run);
        }
    }

    private void perform(Consumer<Instant> action) {
        Instant now = clock.instant();
        action.accept(now);
        runDeferred(now);
        inProgress = countInProgress();
    }

    private void runDeferred(Instant now) {
        Consumer<Instant> action = deferred.poll();
        while (action != null) {
            action.accept(now);
            action = deferred.poll();
        }
    }

    private void tick() {
        Instant now = clock.instant();
        runDeferred(now);
        tickActions.forEach(action -> action.accept(now));
        context.chatQueue().tick(this::refuse, now);
        chats.values().forEach(chat -> chat.tick(now));
        calls.values().forEach(call -> call.tick(now));
        refusedCalls.values().forEach(refusedCall -> refusedCall.tick(now));
        runDeferred(now);
        chats.values().removeIf(ChatRun::isEnded);
        calls.values().removeIf(CallRun::isEnded);
        refusedCalls.values().removeIf(DenialRun::isEnded);
        inProgress = countInProgress();
    }
}
