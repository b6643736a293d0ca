package org.cornelramp.daemon.entry;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.cornelramp.core.call.AgentWord;
import org.cornelramp.core.call.CallAction;
import org.cornelramp.core.call.CallResult;
import org.cornelramp.core.call.PlainCall;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.model.Outcome;
import org.cornelramp.core.model.Problem;
import org.cornelramp.core.model.ProblemKind;
import org.cornelramp.core.route.Choice;
import org.cornelramp.core.route.Work;
import org.cornelramp.wire.message.Invoke;
import org.cornelramp.wire.message.InvokeResult;
import org.cornelramp.wire.message.Settle;

/**
 * One call to a plain service in progress: does what its {@link PlainCall} decides.
 *
 * <p>Confined to the router's thread. Invariant: the caller gets one final answer, and the work counted at agents
 * is uncounted when it ends.
 */
final class CallRun {
    private static final int MAX_RETRIES = 2;

    private final long number;
    private final ServiceRequest call;
    private final Agents agents;
    private final Selection selection;
    private final SettledLookup settled;
    private final Ends ends;
    private final PlainCall state;
    private final Optional<Incarnation> bound;
    private final Deque<CallAction> todo = new ArrayDeque<>();
    private Optional<Incarnation> counted = Optional.empty();

    CallRun(
            long number,
            ServiceRequest call,
            Optional<Incarnation> bound,
            Agents agents,
            Selection selection,
            SettledLookup settled,
            Ends ends,
            Instant now) {
        this.number = number;
        this.call = call;
        this.bound = bound;
        this.agents = agents;
        this.selection = selection;
        this.settled = settled;
        this.ends = ends;
        this.state = new PlainCall(bound, now, call.request().deadline(), MAX_RETRIES);
    }

    /** Starts the call; one whose bound agent has ended goes straight to what the log holds. */
    void start(Instant now) {
        if (bound.isPresent() && isGone(bound.get())) {
            apply(state.start(), now, true);
        } else {
            apply(state.start(), now, false);
        }
    }

    /** Starts a call that is refused here, but for what its key's agent says. */
    void startRefused(Problem why, Instant now) {
        apply(state.startRefused(why), now, bound.isPresent() && isGone(bound.get()));
    }

    void on(InvokeResult result, Instant now) {
        apply(state.said(word(result)), now, false);
    }

    void linkLost(Incarnation agent, Instant now) {
        apply(state.linkLost(agent), now, false);
    }

    void linkOpened(Incarnation agent, Instant now) {
        apply(state.linkOpened(agent), now, false);
        Optional<Incarnation> target = state.target();
        if (target.isPresent() && !target.get().equals(agent) && isGone(target.get())) {
            gone(target.get(), now);
        }
    }

    void gone(Incarnation agent, Instant now) {
        apply(state.incarnationGone(agent), now, false);
    }

    void lookedUp(Optional<AgentWord> word, Instant now) {
        apply(state.lookedUp(word), now, false);
    }

    void tick(Instant now) {
        apply(state.tick(now), now, false);
        Optional<Incarnation> target = state.target();
        if (!state.isEnded() && target.isPresent() && isGone(target.get())) {
            gone(target.get(), now);
        }
    }

    boolean isEnded() {
        return state.isEnded();
    }

    private boolean isGone(Incarnation agent) {
        return agents.membership().isGone(agent, call.keyMadeAt());
    }

    private void apply(List<CallAction> actions, Instant now, boolean targetGone) {
        todo.addAll(actions);
        if (targetGone) {
            todo.clear();
            todo.addAll(state.incarnationGone(bound.orElseThrow()));
        }
        CallAction action = todo.poll();
        while (action != null) {
            perform(action, now);
            action = todo.poll();
        }
    }

    private void perform(CallAction action, Instant now) {
        if (action instanceof CallAction.Choose) {
            choose(now);
        } else if (action instanceof CallAction.Send send) {
            send(send.agent(), now);
        } else if (action instanceof CallAction.Ask ask) {
            ask(ask.agent(), now);
        } else if (action instanceof CallAction.LookUp lookUp) {
            ends.decided(call.request(), now, "look-up", "agent=" + lookUp.agent());
            settled.lookUp(lookUp.agent(), call.key().orElseThrow(), number);
        } else if (action instanceof CallAction.Answer answer) {
            answer(answer.result(), now);
        } else if (action instanceof CallAction.Fail fail) {
            fail(fail.problem(), now);
        }
    }

    private void choose(Instant now) {
        Work work = new Work(
                call.request().row().key().service(), 0, 0, call.request().deadline(), "", state.failed());
        Either<Problem, Choice> choice = selection.choose(work, now);
        if (choice.isLeft()) {
            todo.addAll(state.notChosen(choice.getLeft()));
        } else {
            Incarnation agent = choice.get().stages().get(0).incarnation();
            todo.addAll(state.chosen(agent));
        }
    }

    private void send(Incarnation agent, Instant now) {
        ends.decided(call.request(), now, "sent", "agent=" + agent + " retries=" + state.retries());
        Invoke message = new Invoke(
                number,
                call.request().id(),
                call.request().row().key().organisation(),
                call.idempotent(),
                call.key(),
                bound,
                call.request().row().values().priority(),
                Math.max(0, Duration.between(now, call.request().deadline()).toMillis()),
                call.method(),
                call.path(),
                call.contentType(),
                call.body(),
                call.fingerprint());
        count(Optional.of(agent), now);
        if (!agents.send(agent, message)) {
            todo.addAll(state.notSent());
        }
    }

    private void ask(Incarnation agent, Instant now) {
        ends.decided(call.request(), now, "asked", "agent=" + agent);
        if (!agents.send(agent, new Settle(number, call.key().orElseThrow(), agent, true))) {
            todo.addAll(state.notSent());
        }
    }

    private void count(Optional<Incarnation> agent, Instant now) {
        counted.ifPresent(agents::end);
        agent.ifPresent(one -> agents.begin(one, 0, now));
        counted = agent;
    }

    private void answer(CallResult result, Instant now) {
        count(Optional.empty(), now);
        ends.answered(call.request(), now);
        call.request().answer().whole(result.status(), result.contentType(), result.body());
    }

    private void fail(Problem problem, Instant now) {
        count(Optional.empty(), now);
        ends.failed(call.request(), problem, now);
        call.request().answer().problem(problem);
    }

    private static AgentWord word(InvokeResult result) {
        if (result.outcome() == Outcome.ANSWERED) {
            return AgentWord.of(new CallResult(result.status(), result.contentType(), result.body()));
        }
        ProblemKind kind = result.kind().orElse(ProblemKind.BACKEND_FAILED);
        Duration wait = Duration.ofMillis(Math.max(0, result.retryAfterMillis()));
        return AgentWord.of(new Problem(kind, result.outcome(), result.detail(), wait));
    }
}
