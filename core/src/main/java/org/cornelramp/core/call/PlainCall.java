package org.cornelramp.core.call;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cornelramp.core.call.CallAction.Answer;
import org.cornelramp.core.call.CallAction.Ask;
import org.cornelramp.core.call.CallAction.Choose;
import org.cornelramp.core.call.CallAction.Fail;
import org.cornelramp.core.call.CallAction.LookUp;
import org.cornelramp.core.call.CallAction.Send;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.model.Outcome;
import org.cornelramp.core.model.Problem;
import org.cornelramp.core.model.ProblemKind;
import org.cornelramp.core.retry.FailedAttempt;
import org.cornelramp.core.retry.RetryPolicy;

/**
 * State machine of one call to a plain service at its entry.
 *
 * <p>A call with a key is bound to one incarnation and is sent to no other. It is reported as not run only if that agent
 * says so, even if this entry never sent it: an earlier attempt with the same key through another entry may have. A call
 * without a key is idempotent and may be retried on another agent after a failure.
 *
 * <p>Confined to one thread. Invariants: there is at most one final action, {@link Answer} or {@link Fail}; a keyed call
 * is sent at most once, and after that the agent is only asked for its result.
 */
public final class PlainCall {
    /** Divisor: this part of the time left is reserved for asking the agent before the deadline. */
    private static final int ASK_DIVISOR = 10;

    private static final Duration MAX_ASK_MARGIN = Duration.ofMillis(250);

    private static final Problem NOT_ACCEPTED =
            Problem.notRun(ProblemKind.NO_BACKEND_SERVER, "No backend server accepted the call.");

    private enum Phase {
        NEW,
        CHOOSING,
        WAITING_FOR_LINK,
        SENT,
        ASKED,
        LOOKING_UP,
        ENDED
    }

    private final Optional<Incarnation> bound;
    private final Instant deadline;
    private final Instant askAt;
    private final Set<Incarnation> failed = new HashSet<>();
    private Phase phase = Phase.NEW;
    private Incarnation target;
    private boolean refused;
    private boolean sent;
    private int retries;
    private int crashes;
    private Problem lastProblem = NOT_ACCEPTED;

    /**
     * @param bound the incarnation that the call's key is bound to; empty for an idempotent call without a key
     * @param now the current time
     * @param deadline when the caller must have its final answer
     */
    public PlainCall(Optional<Incarnation> bound, Instant now, Instant deadline) {
        this.bound = bound;
        this.deadline = deadline;
        this.askAt = askAt(now, deadline);
    }

    /** When to ask the agent for the result, so that the reply can arrive before the deadline. */
    public static Instant askAt(Instant now, Instant deadline) {
        Duration part = Duration.between(now, deadline).dividedBy(ASK_DIVISOR);
        return deadline.minus(part.compareTo(MAX_ASK_MARGIN) < 0 ? part : MAX_ASK_MARGIN);
    }

    /** Starts the call. */
    public List<CallAction> start() {
        if (bound.isEmpty()) {
            phase = Phase.CHOOSING;
            return List.of(new Choose());
        }
        target = bound.get();
        return send();
    }

    /**
     * Starts a call that is refused before it is sent.
     *
     * <p>A call without a key fails at once. For a keyed call the agent is still asked: an earlier attempt with the same key
     * may have run, and a caller that is told otherwise would make a second booking.
     */
    public List<CallAction> startRefused(Problem reason) {
        if (bound.isEmpty()) {
            return end(new Fail(reason));
        }
        lastProblem = reason;
        refused = true;
        target = bound.get();
        phase = Phase.ASKED;
        return List.of(new Ask(target));
    }

    /** Handles the choice of a backend server after {@link Choose}. */
    public List<CallAction> chosen(Incarnation agent) {
        if (phase != Phase.CHOOSING) {
            return List.of();
        }
        target = agent;
        return send();
    }

    /** Handles a {@link Choose} without result: no backend server is suitable, or the retry budget is exhausted. */
    public List<CallAction> notChosen(Problem problem) {
        if (phase != Phase.CHOOSING) {
            return List.of();
        }
        Problem reason = retries == 0 ? problem : lastProblem;
        return end(new Fail(sent ? withOutcome(reason, Outcome.UNKNOWN) : reason));
    }

    /** Handles a message that the link did not accept, so that nothing was sent. */
    public List<CallAction> notSent(Instant now) {
        if (phase == Phase.SENT) {
            sent = bound.isEmpty() && retries > 0;
            return bound.isPresent() ? waitForLink() : retryElsewhere(NOT_ACCEPTED, now);
        }
        return phase == Phase.ASKED ? waitForLink() : List.of();
    }

    /** Handles the loss of the link to an agent; the agent itself may still run. */
    public List<CallAction> linkLost(Incarnation agent, Instant now) {
        if (!agent.equals(target) || (phase != Phase.SENT && phase != Phase.ASKED)) {
            return List.of();
        }
        Problem lost = Problem.unknown(ProblemKind.BACKEND_LOST, "The link to the backend server was lost.");
        return bound.isPresent() ? waitForLink() : retryElsewhere(lost, now);
    }

    /** Handles a new link to an agent. */
    public List<CallAction> linkOpened(Incarnation agent) {
        if (phase != Phase.WAITING_FOR_LINK || !agent.equals(target)) {
            return List.of();
        }
        if (sent || refused) {
            phase = Phase.ASKED;
            return List.of(new Ask(target));
        }
        return send();
    }

    /** Handles the end of an incarnation: a newer one has been seen, or the platform removed its VM. */
    public List<CallAction> incarnationGone(Incarnation agent, Instant now) {
        if (phase == Phase.ENDED || phase == Phase.LOOKING_UP || !agent.equals(target)) {
            return List.of();
        }
        if (bound.isEmpty()) {
            return linkLost(agent, now);
        }
        phase = Phase.LOOKING_UP;
        return List.of(new LookUp(target));
    }

    /**
     * Handles the end of a {@link LookUp}.
     *
     * @param settled the result that the agent settled at a planned stop; empty if the log has none
     */
    public List<CallAction> lookedUp(Optional<AgentReply> settled) {
        if (phase != Phase.LOOKING_UP) {
            return List.of();
        }
        return settled.map(this::conclude)
                .orElseGet(() -> end(new Fail(Problem.unknown(
                        ProblemKind.BACKEND_LOST,
                        "The backend server that the key is bound to ended without reporting a result."))));
    }

    /** Handles the final reply of the agent. */
    public List<CallAction> replyReceived(AgentReply reply, Instant now) {
        if (phase != Phase.SENT && phase != Phase.ASKED) {
            return List.of();
        }
        if (bound.isEmpty() && reply.problem().isPresent()) {
            return retryElsewhere(reply.problem().get(), now);
        }
        return conclude(reply);
    }

    /** Asks the agent shortly before the deadline, and gives the final answer at the deadline. */
    public List<CallAction> tick(Instant now) {
        if (phase == Phase.ENDED) {
            return List.of();
        }
        if (!now.isBefore(deadline)) {
            boolean notRun = bound.isEmpty() && !sent;
            Outcome outcome = notRun ? Outcome.NOT_RUN : Outcome.UNKNOWN;
            String detail = "No answer came within the deadline.";
            return end(new Fail(new Problem(ProblemKind.DEADLINE_PASSED, outcome, detail, Duration.ZERO)));
        }
        if (phase == Phase.SENT && bound.isPresent() && !now.isBefore(askAt)) {
            phase = Phase.ASKED;
            return List.of(new Ask(target));
        }
        return List.of();
    }

    /** Refuses a keyed call instead of sending it; as in {@link #startRefused}, its agent decides on the outcome. */
    public List<CallAction> refuse(Problem reason) {
        if (phase != Phase.SENT) {
            return List.of();
        }
        lastProblem = reason;
        refused = true;
        phase = Phase.ASKED;
        return List.of(new Ask(target));
    }

    /** Agents that failed this call. */
    public Set<Incarnation> failed() {
        return Set.copyOf(failed);
    }

    /** The agent that the call was or will be sent to; empty before one is chosen. */
    public Optional<Incarnation> target() {
        return Optional.ofNullable(target);
    }

    /** Whether the final answer has been given. */
    public boolean isEnded() {
        return phase == Phase.ENDED;
    }

    /** How many times the call was retried on another agent. */
    public int retries() {
        return retries;
    }

    private List<CallAction> send() {
        phase = Phase.SENT;
        sent = true;
        return List.of(new Send(target));
    }

    private List<CallAction> waitForLink() {
        phase = Phase.WAITING_FOR_LINK;
        return List.of();
    }

    private List<CallAction> retryElsewhere(Problem reason, Instant now) {
        failed.add(target);
        lastProblem = reason;
        if (reason.kind() == ProblemKind.BACKEND_LOST && reason.outcome() == Outcome.UNKNOWN) {
            crashes++;
        }
        FailedAttempt attempt = new FailedAttempt(reason, true, retries + 1, crashes, deadline, Duration.ZERO);
        if (!RetryPolicy.mayRetry(attempt, now)) {
            return end(new Fail(reason));
        }
        retries++;
        phase = Phase.CHOOSING;
        return List.of(new Choose());
    }

    private List<CallAction> conclude(AgentReply reply) {
        if (reply.result().isPresent()) {
            return end(new Answer(reply.result().get()));
        }
        Problem problem = reply.problem().orElseThrow();
        boolean refusalConfirmed = refused && problem.outcome() == Outcome.NOT_RUN;
        return end(new Fail(refusalConfirmed ? withNewKeyAdvice(lastProblem) : problem));
    }

    /** Adds to a refusal that the key cannot be used again, since the agent has recorded that it never runs. */
    private static Problem withNewKeyAdvice(Problem reason) {
        String detail = reason.detail() + " Retry with a new key: this one will never run.";
        return new Problem(reason.kind(), Outcome.NOT_RUN, detail, reason.retryAfter());
    }

    private List<CallAction> end(CallAction action) {
        phase = Phase.ENDED;
        return List.of(action);
    }

    private static Problem withOutcome(Problem problem, Outcome outcome) {
        return new Problem(problem.kind(), outcome, problem.detail(), problem.retryAfter());
    }
}
