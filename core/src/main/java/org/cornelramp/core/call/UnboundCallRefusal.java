package org.cornelramp.core.call;

import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cornelramp.core.call.CallAction.Answer;
import org.cornelramp.core.call.CallAction.Ask;
import org.cornelramp.core.call.CallAction.Fail;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.model.Outcome;
import org.cornelramp.core.model.Problem;

/**
 * Refuses a call whose key cannot be bound, and determines whether it may be reported as not run.
 *
 * <p>An earlier attempt with the key may have been bound through another entry. Therefore each agent that may have run
 * the key is asked, which also keeps it from running the key later. The call is reported as not run only if all of them
 * deny having run it. If one ran it, its answer is returned; in all other cases the outcome is unknown.
 *
 * <p>Confined to one thread. Invariant: exactly one final action, {@link Answer} or {@link Fail}.
 */
public final class UnboundCallRefusal {
    private final Problem reason;
    private final Instant deadline;
    private final Set<Incarnation> pending = new HashSet<>();
    private boolean asking;
    private boolean ended;

    /**
     * @param reason why the call is refused
     * @param deadline when the final answer must be given
     */
    public UnboundCallRefusal(Problem reason, Instant deadline) {
        this.reason = reason;
        this.deadline = deadline;
    }

    /** Whether {@link #ask} has not been called yet. */
    public boolean isWaiting() {
        return !asking && !ended;
    }

    /**
     * Asks the agents that may have run the key.
     *
     * @param holders the agents; empty if one may be missing
     */
    public List<CallAction> ask(Optional<Set<Incarnation>> holders) {
        if (!isWaiting()) {
            return List.of();
        }
        if (holders.isEmpty()) {
            return fail(Outcome.UNKNOWN);
        }
        asking = true;
        pending.addAll(holders.get());
        if (pending.isEmpty()) {
            return fail(Outcome.NOT_RUN);
        }
        return pending.stream().map(agent -> (CallAction) new Ask(agent)).toList();
    }

    /** Handles the final reply of an agent. */
    public List<CallAction> replyReceived(Incarnation agent, AgentReply reply) {
        if (ended || !pending.contains(agent)) {
            return List.of();
        }
        if (reply.result().isPresent()) {
            ended = true;
            return List.of(new Answer(reply.result().get()));
        }
        Problem problem = reply.problem().orElseThrow();
        if (problem.outcome() != Outcome.NOT_RUN) {
            return fail(Outcome.UNKNOWN);
        }
        pending.remove(agent);
        return pending.isEmpty() ? fail(Outcome.NOT_RUN) : List.of();
    }

    /** Handles the loss of the link to an agent, or a question that could not be sent. */
    public List<CallAction> linkLost(Incarnation agent) {
        return pending.contains(agent) ? fail(Outcome.UNKNOWN) : List.of();
    }

    /** Fails with the outcome unknown once the time limit is reached. */
    public List<CallAction> tick(Instant now) {
        return now.isBefore(deadline) ? List.of() : fail(Outcome.UNKNOWN);
    }

    /** Whether the final answer has been given. */
    public boolean isEnded() {
        return ended;
    }

    private List<CallAction> fail(Outcome outcome) {
        if (ended) {
            return List.of();
        }
        ended = true;
        return List.of(new Fail(new Problem(reason.kind(), outcome, reason.detail(), reason.retryAfter())));
    }
}
