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
 * The state of one call to a plain service at its entry.
 *
 * <p>A call with a key is bound to one incarnation and is handed to no other. It is reported as not run only by
 * that agent's word, even if this entry never handed it over: an earlier attempt with the same key, by way of
 * another entry, may have. A call without a key is idempotent and may be sent elsewhere after a failure.
 *
 * <p>Confined to one thread. Invariants: at most one final action, {@link Answer} or {@link Fail}; a keyed call is
 * sent at most once, and from then on only asked for.
 */
public final class PlainCall {
    /** Part of the time left that is kept for asking the agent before the deadline passes. */
    private static final int ASK_PART = 10;

    private static final Duration LONGEST_ASK = Duration.ofMillis(250);

    private static final Problem NOT_TAKEN =
            Problem.notRun(ProblemKind.NO_BACKEND_SERVER, "No backend server took the call.");

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
    private boolean refuse;
    private boolean sent;
    private int retries;
    private int crashes;
    private Problem last = NOT_TAKEN;

    /**
     * @param bound the incarnation that the call's key is bound to; empty for an idempotent call without a key
     * @param now the present time
     * @param deadline when the caller's final answer must be out
     */
    public PlainCall(Optional<Incarnation> bound, Instant now, Instant deadline) {
        this.bound = bound;
        this.deadline = deadline;
        this.askAt = askAt(now, deadline);
    }

    /** When the last question before a deadline goes out, so that its answer can come in time. */
    public static Instant askAt(Instant now, Instant deadline) {
        Duration part = Duration.between(now, deadline).dividedBy(ASK_PART);
        return deadline.minus(part.compareTo(LONGEST_ASK) < 0 ? part : LONGEST_ASK);
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
     * Starts a keyed call that is refused before it is handed over.
     *
     * <p>The refusal is still settled with the agent: an earlier attempt with the same key may have run, and a
     * caller told not-run would then book twice.
     */
    public List<CallAction> startRefused(Problem why) {
        if (bound.isEmpty()) {
            return end(new Fail(why));
        }
        last = why;
        refuse = true;
        target = bound.get();
        phase = Phase.ASKED;
        return List.of(new Ask(target));
    }

    /** A backend server was chosen after {@link Choose}. */
    public List<CallAction> chosen(Incarnation agent) {
        if (phase != Phase.CHOOSING) {
            return List.of();
        }
        target = agent;
        return send();
    }

    /** No backend server will do, or the retry budget is spent. */
    public List<CallAction> notChosen(Problem problem) {
        if (phase != Phase.CHOOSING) {
            return List.of();
        }
        Problem why = retries == 0 ? problem : last;
        return end(new Fail(sent ? withOutcome(why, Outcome.UNKNOWN) : why));
    }

    /** The link would not take the message: nothing was handed over. */
    public List<CallAction> notSent(Instant now) {
        if (phase == Phase.SENT) {
            sent = bound.isEmpty() && retries > 0;
            return bound.isPresent() ? waitForLink() : elsewhere(NOT_TAKEN, now);
        }
        return phase == Phase.ASKED ? waitForLink() : List.of();
    }

    /** The link to the agent that has the call is gone; the agent itself may live. */
    public List<CallAction> linkLost(Incarnation agent, Instant now) {
        if (!agent.equals(target) || (phase != Phase.SENT && phase != Phase.ASKED)) {
            return List.of();
        }
        Problem lost = Problem.unknown(ProblemKind.BACKEND_LOST, "The link to the backend server was lost.");
        return bound.isPresent() ? waitForLink() : elsewhere(lost, now);
    }

    /** A new link to an agent is up. */
    public List<CallAction> linkOpened(Incarnation agent) {
        if (phase != Phase.WAITING_FOR_LINK || !agent.equals(target)) {
            return List.of();
        }
        if (sent || refuse) {
            phase = Phase.ASKED;
            return List.of(new Ask(target));
        }
        return send();
    }

    /** The agent's life has ended: a newer incarnation of it has been seen, or the platform took its VM away. */
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

    /** What the log holds of the key: the result that a planned stop settled, or nothing. */
    public List<CallAction> lookedUp(Optional<AgentWord> settled) {
        if (phase != Phase.LOOKING_UP) {
            return List.of();
        }
        return settled.map(this::conclude)
                .orElseGet(() -> end(new Fail(Problem.unknown(
                        ProblemKind.BACKEND_LOST,
                        "The backend server that the key is bound to ended without a word."))));
    }

    /** The agent's final word has come. */
    public List<CallAction> said(AgentWord word, Instant now) {
        if (phase != Phase.SENT && phase != Phase.ASKED) {
            return List.of();
        }
        if (bound.isEmpty() && word.problem().isPresent()) {
            return elsewhere(word.problem().get(), now);
        }
        return conclude(word);
    }

    /** Time passes: asks before the deadline, and gives the final answer at it. */
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

    /** Refuses a keyed call instead of handing it over; as in {@link #startRefused}, its agent has the word. */
    public List<CallAction> refuse(Problem why) {
        if (phase != Phase.SENT) {
            return List.of();
        }
        last = why;
        refuse = true;
        phase = Phase.ASKED;
        return List.of(new Ask(target));
    }

    /** Agents that failed this call. */
    public Set<Incarnation> failed() {
        return Set.copyOf(failed);
    }

    /** The agent that has or is meant to have the call; empty before one is chosen. */
    public Optional<Incarnation> target() {
        return Optional.ofNullable(target);
    }

    /** Whether the final answer has been given. */
    public boolean isEnded() {
        return phase == Phase.ENDED;
    }

    /** How many times the call was sent elsewhere. */
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

    private List<CallAction> elsewhere(Problem why, Instant now) {
        failed.add(target);
        last = why;
        if (why.kind() == ProblemKind.BACKEND_LOST && why.outcome() == Outcome.UNKNOWN) {
            crashes++;
        }
        FailedAttempt attempt = new FailedAttempt(why, true, retries + 1, crashes, deadline, Duration.ZERO);
        if (!RetryPolicy.mayRetry(attempt, now)) {
            return end(new Fail(why));
        }
        retries++;
        phase = Phase.CHOOSING;
        return List.of(new Choose());
    }

    private List<CallAction> conclude(AgentWord word) {
        if (word.result().isPresent()) {
            return end(new Answer(word.result().get()));
        }
        Problem problem = word.problem().orElseThrow();
        boolean ours = refuse && problem.outcome() == Outcome.NOT_RUN;
        return end(new Fail(ours ? spent(last) : problem));
    }

    /** The agent has noted that the key never runs, so coming back with it would be in vain. */
    private static Problem spent(Problem why) {
        String detail = why.detail() + " Come back with a new key: this one never runs.";
        return new Problem(why.kind(), Outcome.NOT_RUN, detail, why.retryAfter());
    }

    private List<CallAction> end(CallAction action) {
        phase = Phase.ENDED;
        return List.of(action);
    }

    private static Problem withOutcome(Problem problem, Outcome outcome) {
        return new Problem(problem.kind(), outcome, problem.detail(), problem.retryAfter());
    }
}
