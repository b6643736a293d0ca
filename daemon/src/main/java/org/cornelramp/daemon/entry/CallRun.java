package org.cornelramp.daemon.entry;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.cornelramp.core.call.AgentReply;
import org.cornelramp.core.call.CallAction;
import org.cornelramp.core.call.CallResult;
import org.cornelramp.core.call.PlainCall;
import org.cornelramp.core.member.Member;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.model.Problem;
import org.cornelramp.core.model.ProblemKind;
import org.cornelramp.core.route.Choice;
import org.cornelramp.core.route.RoutingRequest;
import org.cornelramp.core.table.RowKey;
import org.cornelramp.wire.message.Invoke;
import org.cornelramp.wire.message.Settle;

/**
 * One call to a plain service in progress: does what its {@link PlainCall} decides.
 *
 * <p>Confined to the router's thread. Invariant: the caller gets one final answer, and the work counted at agents
 * is uncounted when it ends.
 */
final class CallRun {
    private static final Problem OTHER_SERVICE =
            Problem.notRun(ProblemKind.KEY_REUSED, "The key was not minted for this service; the request did not run.");

    private final long number;
    private final ServiceRequest call;
    private final Parts parts;
    private final Agents agents;
    private final Ends ends;
    private final PlainCall state;
    private final Optional<Bound> bound;
    private final Deque<CallAction> todo = new ArrayDeque<>();
    private Optional<Incarnation> counted = Optional.empty();
    private Duration expected = Duration.ZERO;
    private Instant sentAt = Instant.EPOCH;
    private Optional<Instant> lostAt = Optional.empty();

    CallRun(long number, ServiceRequest call, Optional<Bound> bound, Parts parts, Instant now) {
        this.number = number;
        this.call = call;
        this.bound = bound;
        this.parts = parts;
        this.agents = parts.agents();
        this.ends = parts.ends();
        this.state = new PlainCall(bound.map(Bound::agent), now, call.request().deadline());
    }

    /** Starts the call; one whose bound agent has ended goes straight to what the log holds. */
    void start(Instant now) {
        apply(state.start(), now, isBoundGone(now));
    }

    /** Starts a call that is refused here, but for what its key's agent says. */
    void startRefused(Problem why, Instant now) {
        apply(state.startRefused(why), now, isBoundGone(now));
    }

    void said(AgentReply word, Instant now) {
        noteHealth(word, now);
        apply(state.replyReceived(word, now), now, false);
    }

    void linkLost(Incarnation agent, Instant now) {
        if (counted.equals(Optional.of(agent)) && lostAt.isEmpty()) {
            lostAt = Optional.of(now);
        }
        apply(state.linkLost(agent, now), now, false);
    }

    void linkOpened(Incarnation agent, Instant now) {
        apply(state.linkOpened(agent), now, false);
    }

    void gone(Incarnation agent, Instant now) {
        apply(state.incarnationGone(agent, now), now, false);
    }

    void lookedUp(Optional<AgentReply> word, Instant now) {
        apply(state.lookedUp(word), now, false);
    }

    void tick(Instant now) {
        apply(state.tick(now), now, false);
        if (!state.isEnded() && isBoundGone(now)) {
            gone(bound.get().agent(), now);
        }
    }

    boolean isEnded() {
        return state.isEnded();
    }

    /** Whether the life that the key is bound to has ended: by its own settlement, or since another was seen. */
    private boolean isBoundGone(Instant now) {
        if (bound.isEmpty()) {
            return false;
        }
        Incarnation agent = bound.get().agent();
        return parts.settled().isSettled(agent)
                || agents.membership().hasEnded(agent, bound.get().at(), now);
    }

    private void apply(List<CallAction> actions, Instant now, boolean targetGone) {
        todo.addAll(actions);
        if (targetGone) {
            todo.clear();
            todo.addAll(state.incarnationGone(bound.orElseThrow().agent(), now));
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
            parts.settled().lookUp(lookUp.agent(), call.key().orElseThrow(), number);
        } else if (action instanceof CallAction.Answer answer) {
            answer(answer.result(), now);
        } else if (action instanceof CallAction.Fail fail) {
            fail(fail.problem(), now);
        }
    }

    private void choose(Instant now) {
        RowKey row = call.request().row().key();
        if (state.retries() > 0 && !parts.admission().mayRetry(row.organisation(), now)) {
            ends.decided(call.request(), now, "not-retried", "why=budget");
            todo.addAll(state.notChosen(Refusals.overloaded("The organisation's retries are used up.")));
            return;
        }
        RoutingRequest work =
                new RoutingRequest(row.service(), 0, 0, call.request().deadline(), "", state.failed());
        Either<Problem, Choice> choice = parts.selection().chooseRepeatable(work, now);
        if (choice.isLeft()) {
            todo.addAll(state.notChosen(choice.getLeft()));
        } else {
            expected = choice.get().expectedTime();
            todo.addAll(state.chosen(choice.get().stages().get(0).incarnation()));
        }
    }

    private void noteHealth(AgentReply word, Instant now) {
        if (counted.isEmpty()) {
            return;
        }
        Optional<ProblemKind> kind = word.problem().map(Problem::kind);
        if (kind.isEmpty()) {
            parts.health().succeeded(counted.get(), Duration.between(sentAt, now), expected, now);
        } else if (kind.get() == ProblemKind.BACKEND_FAILED || kind.get() == ProblemKind.BACKEND_LOST) {
            parts.health().failed(counted.get(), now);
        }
    }

    /**
     * A ticket names any agent that its caller writes into it. Sent on unchecked, a call would reach the service of
     * that agent, for which the caller's organisation may have no row. An agent whose backend server is down shows
     * no offer, and refuses by itself.
     */
    private boolean servesOther(Incarnation agent) {
        return agents.membership()
                .member(agent)
                .flatMap(Member::offer)
                .filter(offer ->
                        offer.service().equals(call.request().row().key().service()))
                .isEmpty();
    }

    private void send(Incarnation agent, Instant now) {
        if (bound.isPresent() && servesOther(agent)) {
            todo.addAll(state.refuse(OTHER_SERVICE));
            return;
        }
        ends.decided(call.request(), now, "sent", "agent=" + agent + " retries=" + state.retries());
        Invoke message = new Invoke(
                number,
                call.request().id(),
                call.request().row().key().organisation(),
                call.idempotent(),
                call.key(),
                bound.map(Bound::agent),
                call.request().row().values().priority(),
                Math.max(0, Duration.between(now, call.request().deadline()).toMillis()),
                call.method(),
                call.path(),
                call.contentType(),
                call.body(),
                call.fingerprint());
        count(Optional.of(agent), now);
        sentAt = now;
        if (!agents.send(agent, message)) {
            todo.addAll(state.notSent(now));
        }
    }

    private void ask(Incarnation agent, Instant now) {
        ends.decided(call.request(), now, "asked", "agent=" + agent);
        if (!agents.send(agent, new Settle(number, call.key().orElseThrow(), agent, true))) {
            todo.addAll(state.notSent(now));
        }
    }

    private void count(Optional<Incarnation> agent, Instant now) {
        counted.ifPresent(agents::end);
        agent.ifPresent(one -> agents.begin(one, 1, now));
        counted = agent;
    }

    private void answer(CallResult result, Instant now) {
        lostAt.ifPresent(at -> ends.timed("settle", Duration.between(at, now)));
        count(Optional.empty(), now);
        ends.answered(call.request(), now);
        call.request().answer().whole(result);
    }

    private void fail(Problem problem, Instant now) {
        lostAt.ifPresent(at -> ends.timed("settle", Duration.between(at, now)));
        count(Optional.empty(), now);
        ends.failed(call.request(), problem, now);
        call.request().answer().problem(problem);
    }
}
