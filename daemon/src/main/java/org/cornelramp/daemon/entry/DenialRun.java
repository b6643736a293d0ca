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
 * One call that is refused because its key cannot be bound: does what its {@link UnboundCallRefusal} decides.
 *
 * <p>Confined to the router's thread. Invariant: the caller gets one final answer.
 */
final class DenialRun {
    private final long number;
    private final ServiceRequest call;
    private final Agents agents;
    private final Ends ends;
    private final UnboundCallRefusal state;
    private final Deque<CallAction> todo = new ArrayDeque<>();

    DenialRun(long number, ServiceRequest call, Problem reason, Parts parts) {
        this.number = number;
        this.call = call;
        this.agents = parts.agents();
        this.ends = parts.ends();
        this.state = new UnboundCallRefusal(reason, call.request().deadline());
    }

    void said(Incarnation agent, AgentReply word, Instant now) {
        apply(state.replyReceived(agent, word), now);
    }

    void linkLost(Incarnation agent, Instant now) {
        apply(state.linkLost(agent), now);
    }

    /** Asks once the VM list was read after the request came; only then are all agents known. */
    void tick(Instant now) {
        Instant arrived = call.request().arrived();
        if (state.isWaiting() && agents.lives().isListReadSince(arrived)) {
            apply(
                    state.ask(agents.lives()
                            .possibleHolders(call.request().row().key().service(), call.keyMadeAt(), arrived)),
                    now);
        }
        apply(state.tick(now), now);
    }

    boolean isEnded() {
        return state.isEnded();
    }

    private void apply(List<CallAction> actions, Instant now) {
        todo.addAll(actions);
        CallAction action = todo.poll();
        while (action != null) {
            perform(action, now);
            action = todo.poll();
        }
    }

    private void perform(CallAction action, Instant now) {
        if (action instanceof CallAction.Ask ask) {
            Settle settle = new Settle(number, call.key().orElseThrow(), ask.agent(), true);
            if (!agents.send(ask.agent(), settle)) {
                todo.addAll(state.linkLost(ask.agent()));
            }
        } else if (action instanceof CallAction.Answer answer) {
            ends.answered(call.request(), now);
            call.request().answer().whole(answer.result());
        } else if (action instanceof CallAction.Fail fail) {
            ends.failed(call.request(), fail.problem(), now);
            call.request().answer().problem(fail.problem());
        }
    }
}
