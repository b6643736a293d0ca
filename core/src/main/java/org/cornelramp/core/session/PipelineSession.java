package org.cornelramp.core.session;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.model.Outcome;
import org.cornelramp.core.model.Problem;
import org.cornelramp.core.model.ProblemKind;
import org.cornelramp.core.session.SessionAction.Close;
import org.cornelramp.core.session.SessionAction.Emit;
import org.cornelramp.core.session.SessionAction.Fail;
import org.cornelramp.core.session.SessionAction.Feed;
import org.cornelramp.core.session.SessionAction.Finish;
import org.cornelramp.core.session.SessionAction.Open;
import org.cornelramp.core.session.SessionAction.SelectStages;
import org.cornelramp.core.session.SessionAction.SendFrom;
import org.cornelramp.core.text.Tokenizer;

/**
 * State of one pipeline session at its entry: opening, generating, rebuilding after the loss of a stage, ended.
 *
 * <p>Confined to one thread. Invariants: each generated token is emitted once and in order, whichever epochs deliver
 * it; messages of other epochs than the current one never change the state; no action follows {@link Finish} or
 * {@link Fail}.
 */
public final class PipelineSession {
    private static final int NOT_OPENED = -1;

    private final int promptTokens;
    private final int maxTokens;
    private final int maxRebuilds;
    private final Set<Incarnation> failedAgents = new HashSet<>();
    private long[] tokens;
    private int tokenCount;
    private int epoch;
    private int rebuilds;
    private boolean awaitingStages;
    private boolean ended;
    private boolean inputSent;
    private List<Incarnation> stages = List.of();
    private int[] openedPositions = new int[0];

    /**
     * @param prompt tokens of the prompt, at least one
     * @param maxTokens maximum number of tokens to generate, at least one
     * @param maxRebuilds how many times lost stages may be replaced before the session fails
     */
    public PipelineSession(long[] prompt, int maxTokens, int maxRebuilds) {
        if (prompt.length == 0 || maxTokens < 1) {
            throw new IllegalArgumentException("A session needs a prompt and at least one token to generate");
        }
        this.tokens = prompt.clone();
        this.tokenCount = prompt.length;
        this.promptTokens = prompt.length;
        this.maxTokens = maxTokens;
        this.maxRebuilds = maxRebuilds;
    }

    /** Assigns the agents of the stages in a new epoch, initially or after {@link SelectStages}. */
    public List<SessionAction> assignStages(List<Incarnation> chosen) {
        if (ended) {
            return List.of();
        }
        List<SessionAction> actions = new ArrayList<>();
        int old = epoch;
        stages.stream().filter(agent -> !chosen.contains(agent)).forEach(agent -> actions.add(new Close(agent, old)));
        epoch++;
        awaitingStages = false;
        stages = List.copyOf(chosen);
        openedPositions = new int[stages.size()];
        Arrays.fill(openedPositions, NOT_OPENED);
        actions.add(new Open(epoch, stages));
        return actions;
    }

    /** Handles that a stage has opened the session and has run all positions before {@code position}. */
    public List<SessionAction> onOpened(int ofEpoch, int stage, int position) {
        if (isStale(ofEpoch, stage) || openedPositions[stage] != NOT_OPENED) {
            return List.of();
        }
        openedPositions[stage] = position;
        for (int openedPosition : openedPositions) {
            if (openedPosition == NOT_OPENED) {
                return List.of();
            }
        }
        return startSending();
    }

    /** Handles that a stage cannot continue: it refused, lost the session, or its agent is gone. */
    public List<SessionAction> onLost(int ofEpoch, int stage, Problem why) {
        return isStale(ofEpoch, stage) ? List.of() : replaceAgent(stages.get(stage), why);
    }

    /** Handles that an agent has ended, with all sessions that it held. */
    public List<SessionAction> onLost(Incarnation agent, Problem why) {
        if (ended || !stages.contains(agent)) {
            return List.of();
        }
        if (awaitingStages) {
            failedAgents.add(agent);
            return List.of();
        }
        return replaceAgent(agent, why);
    }

    /**
     * Handles the loss of the link to an agent. The agent may be alive and still hold its stage, so it is not excluded:
     * it may be chosen again once a new link to it is up.
     */
    public List<SessionAction> onLinkLost(Incarnation agent, Problem why) {
        if (ended || awaitingStages || !stages.contains(agent)) {
            return List.of();
        }
        // When all links fail at once, the losses are detected one by one, and each requires new stages. Counted as
        // rebuilds of dead stages, they would exhaust the limit and fail the session although no agent has died.
        awaitingStages = true;
        return List.of(new SelectStages(why.kind().text()));
    }

    /**
     * Handles generated tokens.
     *
     * <p>Late tokens of an older epoch, whose stage may have been replaced, are dropped: the current epoch delivers the
     * same positions again, and accepting both would repeat text.
     */
    public List<SessionAction> onGenerated(int ofEpoch, int position, int[] received) {
        if (ended || awaitingStages || ofEpoch != epoch) {
            return List.of();
        }
        int first = position + 1;
        if (first > tokenCount) {
            Problem gap = Problem.notRun(ProblemKind.BACKEND_FAILED, "The last stage skipped a token.");
            return replaceAgent(stages.get(stages.size() - 1), gap);
        }
        return acceptTokens(received, tokenCount - first);
    }

    /**
     * Ends the session with a problem: its deadline passed, its caller disconnected, or no replacement was found.
     *
     * <p>The outcome of the problem is set here: a session whose tokens were sent to a stage may have run in part, and
     * only one whose tokens were never sent is reported as not run.
     */
    public List<SessionAction> fail(Problem problem) {
        if (ended) {
            return List.of();
        }
        List<SessionAction> actions = closeAll();
        Outcome outcome = inputSent ? Outcome.UNKNOWN : Outcome.NOT_RUN;
        actions.add(new Fail(new Problem(problem.kind(), outcome, problem.detail(), problem.retryAfter())));
        return actions;
    }

    /** Agents at which this session failed and which must not be chosen for it again. */
    public Set<Incarnation> failedAgents() {
        return Set.copyOf(failedAgents);
    }

    /** The agents of the stages of the current epoch, in order. */
    public List<Incarnation> stages() {
        return stages;
    }

    /** The current epoch, from 1; 0 before the first. */
    public int epoch() {
        return epoch;
    }

    /** Number of tokens passed to the caller. */
    public int generatedTokens() {
        return tokenCount - promptTokens;
    }

    public boolean isEnded() {
        return ended;
    }

    /** Whether the session waits for {@link #assignStages}. */
    public boolean isAwaitingStages() {
        return awaitingStages;
    }

    /** Number of times that lost stages were replaced. */
    public int rebuilds() {
        return rebuilds;
    }

    private boolean isStale(int ofEpoch, int stage) {
        return ended || awaitingStages || ofEpoch != epoch || stage < 0 || stage >= stages.size();
    }

    /**
     * Tells each stage the first position that its successor lacks. The entry is the successor of the last stage and
     * sends the inputs of the first.
     */
    private List<SessionAction> startSending() {
        List<SessionAction> actions = new ArrayList<>();
        int last = stages.size() - 1;
        actions.add(new SendFrom(epoch, last, tokenCount - 1));
        for (int stage = last - 1; stage >= 0; stage--) {
            actions.add(new SendFrom(epoch, stage, openedPositions[stage + 1]));
        }
        inputSent = true;
        if (openedPositions[0] < tokenCount) {
            actions.add(
                    new Feed(epoch, openedPositions[0], Arrays.copyOfRange(tokens, openedPositions[0], tokenCount)));
        }
        return actions;
    }

    private List<SessionAction> replaceAgent(Incarnation agent, Problem why) {
        failedAgents.add(agent);
        return requestStages(why);
    }

    private List<SessionAction> requestStages(Problem why) {
        if (rebuilds >= maxRebuilds) {
            return fail(why);
        }
        rebuilds++;
        awaitingStages = true;
        return List.of(new SelectStages(why.kind().text()));
    }

    private List<SessionAction> acceptTokens(int[] received, int skip) {
        List<SessionAction> actions = new ArrayList<>();
        int[] newTokens = new int[Math.max(0, received.length - skip)];
        int count = 0;
        boolean complete = false;
        for (int i = skip; i < received.length && !complete; i++) {
            complete = received[i] == Tokenizer.END_TOKEN || generatedTokens() + 1 == maxTokens;
            if (received[i] != Tokenizer.END_TOKEN) {
                newTokens[count++] = received[i];
            }
            appendToken(received[i]);
        }
        if (count > 0) {
            actions.add(new Emit(Arrays.copyOf(newTokens, count)));
        }
        if (complete) {
            actions.addAll(closeAll());
            actions.add(new Finish());
        }
        return actions;
    }

    private void appendToken(int token) {
        if (tokenCount == tokens.length) {
            tokens = Arrays.copyOf(tokens, tokens.length * 2);
        }
        tokens[tokenCount++] = token;
    }

    private List<SessionAction> closeAll() {
        ended = true;
        List<SessionAction> actions = new ArrayList<>();
        stages.forEach(agent -> actions.add(new Close(agent, epoch)));
        return actions;
    }
}
