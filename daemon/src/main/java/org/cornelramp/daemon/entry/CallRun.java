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
import org.cornelramp.core.selection.Choice;
import org.cornelramp.core.selection.RoutingRequest;
import org.cornelramp.core.table.RowKey;
import org.cornelramp.wire.message.Invoke;
import org.cornelramp.wire.message.Settle;

/**
 * A call to a plain service in progress. Carries out the actions that its {@link PlainCall} returns.
 *
 * <p>Confined to the router's thread. Invariant: the caller gets one final answer, and work counted at an agent is no
 * longer counted when the call ends.
 */
final class CallRun {
    private static final Problem KEY_OF_OTHER_SERVICE =
            Problem.notRun(ProblemKind.KEY_REUSED, "The key was not minted for this service; the request did not run.");

    private final long callId;
    private final ServiceRequest call;
    private final RouterContext context;
    private final AgentRegistry agents;
    private final RequestTracker tracker;
    private final PlainCall state;
    private final Optional<BoundIncarnation> bound;
    private final Deque<CallAction> pendingActions = new ArrayDeque<>();
    private Optional<Incarnation> countedAgent = Optional.empty();
    private Duration expected = Duration.ZERO;
    private Instant sentAt = Instant.EPOCH;
    private Optional<Instant> linkLostAt = Optional.empty();

    CallRun(long callId, ServiceRequest call, Optional<BoundIncarnation> bound, RouterContext context, Instant now) {
        this.callId = callId;
        this.call = call;
        this.bound = bound;
        this.context = context;
        this.agents = context.agents();
        this.tracker = context.tracker();
        this.state = new PlainCall(
                bound.map(BoundIncarnation::agent), now, call.request().deadline());
    }

    /**
     * Starts the call. If the incarnation that its key is bound to has ended, the result is looked up on the log at
     * once.
     */
    void start(Instant now) {
        apply(state.start(), now, hasBoundAgentEnded(now));
    }

    /**
     * Starts a call that this entry refuses. The agent of its key, if it has one, is still asked whether an earlier
     * attempt ran.
     */
    void startRefused(Problem why, Instant now) {
        apply(state.startRefused(why), now, hasBoundAgentEnded(now));
    }

    void replyReceived(AgentReply reply, Instant now) {
        recordHealth(reply, now);
        apply(state.replyReceived(reply, now), now, false);
    }

    void linkLost(Incarnation agent, Instant now) {
        if (countedAgent.equals(Optional.of(agent)) && linkLostAt.isEmpty()) {
            linkLostAt = Optional.of(now);
        }
        apply(state.linkLost(agent, now), now, false);
    }

    void linkOpened(Incarnation agent, Instant now) {
        apply(state.linkOpened(agent), now, false);
    }

    void incarnationEnded(Incarnation agent, Instant now) {
        apply(state.incarnationGone(agent, now), now, false);
    }

    void lookupCompleted(Optional<AgentReply> reply, Instant now) {
        apply(state.lookedUp(reply), now, false);
    }

    void tick(Instant now) {
        apply(state.tick(now), now, false);
        if (!state.isEnded() && hasBoundAgentEnded(now)) {
            incarnationEnded(bound.get().agent(), now);
        }
    }

    boolean isEnded() {
        return state.isEnded();
    }

    /**
     * Whether the incarnation that the key is bound to has ended, known from its settlement on the log or from a later
     * incarnation.
     */
    private boolean hasBoundAgentEnded(Instant now) {
        if (bound.isEmpty()) {
            return false;
        }
        Incarnation agent = bound.get().agent();
        return context.settlements().isSettled(agent)
                || agents.membership().hasEnded(agent, bound.get().boundAt(), now);
    }

    private void apply(List<CallAction> actions, Instant now, boolean targetGone) {
        pendingActions.addAll(actions);
        if (targetGone) {
            pendingActions.clear();
            pendingActions.addAll(state.incarnationGone(bound.orElseThrow().agent(), now));
        }
        CallAction action = pendingActions.poll();
        while (action != null) {
            perform(action, now);
            action = pendingActions.poll();
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
            tracker.recordDecision(call.request(), now, "look-up", "agent=" + lookUp.agent());
            context.settlements().lookUp(lookUp.agent(), call.key().orElseThrow(), callId);
        } else if (action instanceof CallAction.Answer answer) {
            answer(answer.result(), now);
        } else if (action instanceof CallAction.Fail fail) {
            fail(fail.problem(), now);
        }
    }

    private void choose(Instant now) {
        RowKey row = call.request().row().key();
        if (state.retries() > 0 && !context.admission().tryRetry(row.organisation(), now)) {
            tracker.recordDecision(call.request(), now, "not-retried", "why=budget");
            pendingActions.addAll(state.notChosen(Refusals.overloaded("The organisation's retries are used up.")));
            return;
        }
        RoutingRequest routingRequest =
                new RoutingRequest(row.service(), 0, 0, call.request().deadline(), "", state.failed());
        Either<Problem, Choice> choice = context.selection().chooseForRetryable(routingRequest, now);
        if (choice.isLeft()) {
            pendingActions.addAll(state.notChosen(choice.getLeft()));
        } else {
            expected = choice.get().expectedTime();
            pendingActions.addAll(state.chosen(choice.get().stages().get(0).incarnation()));
        }
    }

    private void recordHealth(AgentReply reply, Instant now) {
        if (countedAgent.isEmpty()) {
            return;
        }
        Optional<ProblemKind> kind = reply.problem().map(Problem::kind);
        if (kind.isEmpty()) {
            context.healthTracker().recordSuccess(countedAgent.get(), Duration.between(sentAt, now), expected, now);
        } else if (kind.get() == ProblemKind.BACKEND_FAILED || kind.get() == ProblemKind.BACKEND_LOST) {
            context.healthTracker().recordFailure(countedAgent.get(), now);
        }
    }

    /**
     * Whether an agent has no offer for the call's service. A caller can write any agent into a ticket. If the ticket
     * were not checked, the call could reach a service for which the caller's organisation has no row. An agent whose
     * backend server is down has no offer at all; it would refuse the call itself.
     */
    private boolean lacksMatchingOffer(Incarnation agent) {
        return agents.membership()
                .member(agent)
                .flatMap(Member::offer)
                .filter(offer ->
                        offer.service().equals(call.request().row().key().service()))
                .isEmpty();
    }

    private void send(Incarnation agent, Instant now) {
        if (bound.isPresent() && lacksMatchingOffer(agent)) {
            pendingActions.addAll(state.refuse(KEY_OF_OTHER_SERVICE));
            return;
        }
        tracker.recordDecision(call.request(), now, "sent", "agent=" + agent + " retries=" + state.retries());
        Invoke message = new Invoke(
                callId,
                call.request().id(),
                call.request().row().key().organisation(),
                call.idempotent(),
                call.key(),
                bound.map(BoundIncarnation::agent),
                call.request().row().values().priority(),
                Math.max(0, Duration.between(now, call.request().deadline()).toMillis()),
                call.method(),
                call.path(),
                call.contentType(),
                call.body(),
                call.fingerprint());
        moveCountedWork(Optional.of(agent), now);
        sentAt = now;
        if (!agents.send(agent, message)) {
            pendingActions.addAll(state.notSent(now));
        }
    }

    private void ask(Incarnation agent, Instant now) {
        tracker.recordDecision(call.request(), now, "asked", "agent=" + agent);
        if (!agents.send(agent, new Settle(callId, call.key().orElseThrow(), agent, true))) {
            pendingActions.addAll(state.notSent(now));
        }
    }

    private void moveCountedWork(Optional<Incarnation> agent, Instant now) {
        countedAgent.ifPresent(agents::workEnded);
        agent.ifPresent(target -> agents.workStarted(target, 1, now));
        countedAgent = agent;
    }

    private void answer(CallResult result, Instant now) {
        linkLostAt.ifPresent(lostAt -> tracker.recordRecoveryTime("settle", Duration.between(lostAt, now)));
        moveCountedWork(Optional.empty(), now);
        tracker.recordAnswer(call.request(), now);
        call.request().answer().complete(result);
    }

    private void fail(Problem problem, Instant now) {
        linkLostAt.ifPresent(lostAt -> tracker.recordRecoveryTime("settle", Duration.between(lostAt, now)));
        moveCountedWork(Optional.empty(), now);
        tracker.recordFailure(call.request(), problem, now);
        call.request().answer().fail(problem);
    }
}
