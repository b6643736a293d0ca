package org.cornelramp.daemon.entry;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.cornelramp.core.call.AgentReply;
import org.cornelramp.core.call.CallAction;
import org.cornelramp.core.call.UnboundCallRefusal;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.model.Problem;
import org.cornelramp.wire.message.Settle;

/**
 * A call in progress that is refused because its key cannot be bound. Carries out the actions that its
 * {@link UnboundCallRefusal} returns.
 *
 * <p>Confined to the router's thread. Invariant: the caller gets one final answer.
 */
final class DenialRun {
    private final long callId;
    private final ServiceRequest call;
    private final AgentRegistry agents;
    private final RequestTracker tracker;
    private final UnboundCallRefusal state;
    private final Deque<CallAction> pendingActions = new ArrayDeque<>();

    DenialRun(long callId, ServiceRequest call, Problem reason, RouterContext context) {
        this.callId = callId;
        this.call = call;
        this.agents = context.agents();
        this.tracker = context.tracker();
        this.state = new UnboundCallRefusal(reason, call.request().deadline());
    }

    void replyReceived(Incarnation agent, AgentReply reply, Instant now) {
        apply(state.replyReceived(agent, reply), now);
    }

    void linkLost(Incarnation agent, Instant now) {
        apply(state.linkLost(agent), now);
    }

    /** Asks the agents once the VM list has been read after the request arrived; only then are all agents known. */
    void tick(Instant now) {
        Instant arrived = call.request().arrived();
        if (state.isWaiting() && agents.history().isListReadSince(arrived)) {
            apply(
                    state.ask(agents.history()
                            .possibleHolders(call.request().row().key().service(), call.keyMadeAt(), arrived)),
                    now);
        }
        apply(state.tick(now), now);
    }

    boolean isEnded() {
        return state.isEnded();
    }

    private void apply(List<CallAction> actions, Instant now) {
        pendingActions.addAll(actions);
        CallAction action = pendingActions.poll();
        while (action != null) {
            perform(action, now);
            action = pendingActions.poll();
        }
    }

    private void perform(CallAction action, Instant now) {
        if (action instanceof CallAction.Ask ask) {
            Settle settle = new Settle(callId, call.key().orElseThrow(), ask.agent(), true);
            if (!agents.send(ask.agent(), settle)) {
                pendingActions.addAll(state.linkLost(ask.agent()));
            }
        } else if (action instanceof CallAction.Answer answer) {
            tracker.recordAnswer(call.request(), now);
            call.request().answer().complete(answer.result());
        } else if (action instanceof CallAction.Fail fail) {
            tracker.recordFailure(call.request(), fail.problem(), now);
            call.request().answer().fail(fail.problem());
        }
    }
}
