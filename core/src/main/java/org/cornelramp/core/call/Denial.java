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
 * Refuses a call whose key cannot be bound, and finds out whether "not run" may be said.
 *
 * <p>An earlier attempt with the key may have been bound through another entry. Each agent that may have run it is
 * asked, and with that made never to run it. Only if all of them deny it is the call reported as not run; one that
 * ran it gives the answer; anything else leaves the outcome unknown.
 *
 * <p>Confined to one thread. Invariant: exactly one final action, {@link Answer} or {@link Fail}.
 */
public final class Denial {
    private final Problem reason;
    private final Instant giveUpAt;
    private final Set<Incarnation> open = new HashSet<>();
    private boolean asking;
    private boolean ended;

    /**
     * @param reason why the call is refused
     * @param giveUpAt when the final answer must be out
     */
    public Denial(Problem reason, Instant giveUpAt) {
        this.reason = reason;
        this.giveUpAt = giveUpAt;
    }

    /** Whether the agents to ask are still to be named. */
    public boolean isWaiting() {
        return !asking && !ended;
    }

    /** Names the agents that may have run the key; empty if one may be missing. */
    public List<CallAction> ask(Optional<Set<Incarnation>> holders) {
        if (!isWaiting()) {
            return List.of();
        }
        if (holders.isEmpty()) {
            return fail(Outcome.UNKNOWN);
        }
        asking = true;
        open.addAll(holders.get());
        if (open.isEmpty()) {
            return fail(Outcome.NOT_RUN);
        }
        return open.stream().map(agent -> (CallAction) new Ask(agent)).toList();
    }

    /** An agent's final word has come. */
    public List<CallAction> said(Incarnation agent, AgentWord word) {
        if (ended || !open.contains(agent)) {
            return List.of();
        }
        if (word.result().isPresent()) {
            ended = true;
            return List.of(new Answer(word.result().get()));
        }
        Problem problem = word.problem().orElseThrow();
        if (problem.outcome() != Outcome.NOT_RUN) {
            return fail(Outcome.UNKNOWN);
        }
        open.remove(agent);
        return open.isEmpty() ? fail(Outcome.NOT_RUN) : List.of();
    }

    /** The link to an agent is gone, or would not take the question. */
    public List<CallAction> linkLost(Incarnation agent) {
        return open.contains(agent) ? fail(Outcome.UNKNOWN) : List.of();
    }

    /** Time passes. */
    public List<CallAction> tick(Instant now) {
        return now.isBefore(giveUpAt) ? List.of() : fail(Outcome.UNKNOWN);
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
