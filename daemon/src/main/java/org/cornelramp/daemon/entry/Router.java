package org.cornelramp.daemon.entry;

import io.vavr.control.Either;
import java.time.Clock;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.cornelramp.core.call.AgentWord;
import org.cornelramp.core.key.Ticket;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.model.Problem;
import org.cornelramp.core.route.Choice;
import org.cornelramp.core.route.Work;
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
 * Routes the requests of one entry: the one thread that owns all that is known of agents, sessions and calls.
 *
 * <p>The methods that take events may be called by any thread and never block; each hands its event over through
 * the bounded ring and says false when that is full. All else is confined to the router's thread. Invariant: every
 * request that was taken gets one final answer by its deadline.
 */
final class Router {
    private static final long TICK_MILLIS = 5;

    private final Clock clock;
    private final int maxInProgress;
    private final RandomGenerator random;
    private final Agents agents;
    private final Selection selection;
    private final SettledLookup settled;
    private final Ends ends;
    private final Duty<Runnable> duty;
    private final Map<Long, ChatRun> chats = new HashMap<>();
    private final Map<Long, CallRun> calls = new HashMap<>();
    private final List<Consumer<Instant>> onTick = new ArrayList<>();
    private volatile int inProgress;

    Router(
            Clock clock,
            int ringSlots,
            int maxInProgress,
            RandomGenerator random,
            Agents agents,
            Selection selection,
            SettledLookup settled,
            Ends ends) {
        this.clock = clock;
        this.maxInProgress = maxInProgress;
        this.random = random;
        this.agents = agents;
        this.selection = selection;
        this.settled = settled;
        this.ends = ends;
        this.duty = new Duty<>("router", ringSlots, Runnable::run, this::tick, TICK_MILLIS);
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
        return duty.offer(() -> {
            action.accept(clock.instant());
            inProgress = chats.size() + calls.size();
        });
    }

    /** Takes a chat completion. The caller's loss, told later, ends it. */
    boolean chat(CallerRequest request, ChatRequest chat, String fingerprint, Consumer<Runnable> callerGone) {
        long session = random.nextLong();
        callerGone.accept(() -> run(now -> callerGone(session, now)));
        return run(now -> {
            Optional<Problem> refusal = full();
            if (refusal.isPresent()) {
                refuse(request, refusal.get(), now);
                return;
            }
            ChatRun run = new ChatRun(session, request, chat, fingerprint, agents, selection, ends);
            chats.put(session, run);
            run.start(now);
            sweepChat(session, run);
        });
    }

    /** Takes a call to a plain service whose key, if it has one, is bound already. */
    boolean call(ServiceRequest call, Optional<Incarnation> bound) {
        return run(now -> startCall(call, bound, now));
    }

    /** Takes a request for a ticket. */
    boolean mint(CallerRequest request, Consumer<Ticket> then) {
        return run(now -> {
            Work work = new Work(request.row().key().service(), 0, 0, request.deadline(), "", Set.of());
            Either<Problem, Choice> choice = selection.choose(work, now);
            if (choice.isLeft()) {
                refuse(request, choice.getLeft(), now);
                return;
            }
            Incarnation agent = choice.get().stages().get(0).incarnation();
            ends.decided(request, now, "minted", "agent=" + agent);
            Instant madeAt = Instant.ofEpochMilli(now.toEpochMilli());
            ends.answered(request, now);
            then.accept(new Ticket(agent, madeAt, random.nextLong()));
        });
    }

    /** Tells a call what the log holds of its key. */
    void lookedUp(long call, Optional<AgentWord> word, Instant now) {
        CallRun run = calls.get(call);
        if (run != null) {
            run.lookedUp(word, now);
            sweepCall(call, run);
        }
    }

    void opened(Link link, Instant now) {
        Optional<Incarnation> ended = agents.opened(link, now);
        ended.ifPresent(agent -> gone(agent, now));
        Incarnation agent = link.peer().incarnation();
        calls.values().forEach(call -> call.linkOpened(agent, now));
        sweep();
    }

    void closed(Link link, String why, Instant now) {
        if (!agents.closed(link)) {
            return;
        }
        Incarnation agent = link.peer().incarnation();
        calls.values().forEach(call -> call.linkLost(agent, now));
        chats.values().forEach(chat -> chat.lost(agent, "The link to a stage was lost: " + why, now));
        sweep();
    }

    void received(Link link, Message message, Instant now) {
        if (message instanceof Heartbeat beat) {
            agents.heard(link.peer().incarnation(), beat, now);
        } else if (message instanceof InvokeResult result) {
            CallRun run = calls.get(result.call());
            if (run != null) {
                run.on(result, now);
                sweepCall(result.call(), run);
            }
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

    private void startCall(ServiceRequest call, Optional<Incarnation> bound, Instant now) {
        long number = random.nextLong();
        CallRun run = new CallRun(number, call, bound, agents, selection, settled, ends, now);
        calls.put(number, run);
        Optional<Problem> refusal = full();
        if (refusal.isPresent()) {
            run.startRefused(refusal.get(), now);
        } else {
            run.start(now);
        }
        sweepCall(number, run);
    }

    private void gone(Incarnation agent, Instant now) {
        calls.values().forEach(call -> call.gone(agent, now));
        chats.values().forEach(chat -> chat.lost(agent, "A stage's agent was started anew.", now));
    }

    private void callerGone(long session, Instant now) {
        onChat(session, run -> run.giveUp(ChatRun.CALLER_GONE, now));
    }

    private Optional<Problem> full() {
        if (chats.size() + calls.size() <= maxInProgress) {
            return Optional.empty();
        }
        return Optional.of(Refusals.overloaded("The entry has as many requests in progress as it may."));
    }

    private void refuse(CallerRequest request, Problem problem, Instant now) {
        ends.failed(request, problem, now);
        request.answer().problem(problem);
    }

    private void onChat(long session, Consumer<ChatRun> action) {
        ChatRun run = chats.get(session);
        if (run != null) {
            action.accept(run);
            sweepChat(session, run);
        }
    }

    private void tick() {
        Instant now = clock.instant();
        onTick.forEach(action -> action.accept(now));
        chats.values().forEach(chat -> chat.tick(now));
        calls.values().forEach(call -> call.tick(now));
        sweep();
    }

    private void sweep() {
        chats.values().removeIf(ChatRun::isEnded);
        calls.values().removeIf(CallRun::isEnded);
        inProgress = chats.size() + calls.size();
    }

    private void sweepChat(long session, ChatRun run) {
        if (run.isEnded()) {
            chats.remove(session);
        }
    }

    private void sweepCall(long number, CallRun run) {
        if (run.isEnded()) {
            calls.remove(number);
        }
    }
}
