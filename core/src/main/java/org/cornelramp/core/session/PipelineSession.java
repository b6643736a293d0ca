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
import org.cornelramp.core.session.SessionAction.Rechoose;
import org.cornelramp.core.session.SessionAction.SendFrom;
import org.cornelramp.core.text.Vocabulary;

/**
 * The state of one pipeline session at its entry: opening, generating, rebuilding after a lost stage, ended.
 *
 * <p>Confined to one thread. Invariants: a generated token is emitted once and in order, whatever epochs deliver
 * it; nothing of an epoch other than the present one changes the state; after {@link Finish} or {@link Fail}
 * there is no further action.
 */
public final class PipelineSession {
    private static final int NOT_OPENED = -1;

    private final int promptTokens;
    private final int maxTokens;
    private final int maxRebuilds;
    private final Set<Incarnation> failed = new HashSet<>();
    private long[] tokens;
    private int known;
    private int epoch;
    private int rebuilds;
    private boolean choosing;
    private boolean ended;
    private boolean fed;
    private List<Incarnation> stages = List.of();
    private int[] opened = new int[0];

    /**
     * @param prompt tokens of the prompt, at least one
     * @param maxTokens most tokens to generate, at least one
     * @param maxRebuilds how many times lost stages may be replaced before the session is given up
     */
    public PipelineSession(long[] prompt, int maxTokens, int maxRebuilds) {
        if (prompt.length == 0 || maxTokens < 1) {
            throw new IllegalArgumentException("A session needs a prompt and at least one token to generate");
        }
        this.tokens = prompt.clone();
        this.known = prompt.length;
        this.promptTokens = prompt.length;
        this.maxTokens = maxTokens;
        this.maxRebuilds = maxRebuilds;
    }

    /** Uses these agents as the stages, at first or after {@link Rechoose}, under a new epoch. */
    public List<SessionAction> use(List<Incarnation> chosen) {
        if (ended) {
            return List.of();
        }
        List<SessionAction> actions = new ArrayList<>();
        int old = epoch;
        stages.stream().filter(agent -> !chosen.contains(agent)).forEach(agent -> actions.add(new Close(agent, old)));
        epoch++;
        choosing = false;
        stages = List.copyOf(chosen);
        opened = new int[stages.size()];
        Arrays.fill(opened, NOT_OPENED);
        actions.add(new Open(epoch, stages));
        return actions;
    }

    /** A stage holds the session and has run all positions before {@code position}. */
    public List<SessionAction> opened(int ofEpoch, int stage, int position) {
        if (isStale(ofEpoch, stage) || opened[stage] != NOT_OPENED) {
            return List.of();
        }
        opened[stage] = position;
        for (int one : opened) {
            if (one == NOT_OPENED) {
                return List.of();
            }
        }
        return startSteps();
    }

    /** A stage cannot go on: refused, lost, or its agent is gone. */
    public List<SessionAction> lost(int ofEpoch, int stage, Problem why) {
        return isStale(ofEpoch, stage) ? List.of() : replace(stages.get(stage), why);
    }

    /** An agent's life has ended, and what it held is gone. */
    public List<SessionAction> lost(Incarnation agent, Problem why) {
        if (ended || !stages.contains(agent)) {
            return List.of();
        }
        if (choosing) {
            failed.add(agent);
            return List.of();
        }
        return replace(agent, why);
    }

    /**
     * The link to an agent is lost. The agent may live and still hold its stage, so it is not avoided: it may be
     * chosen again once a new link to it is up.
     */
    public List<SessionAction> unlinked(Incarnation agent, Problem why) {
        if (ended || choosing || !stages.contains(agent)) {
            return List.of();
        }
        // When every link goes silent at once, they are found one after the other, and each costs a new choice. Counted
        // as rebuilds of dead stages, they would use up the bound and give the session up though nothing has died.
        choosing = true;
        return List.of(new Rechoose(why.kind().text()));
    }

    /**
     * Generated tokens have come.
     *
     * <p>A late one of an older epoch, whose stage may have been replaced, is dropped: the present epoch delivers
     * the same positions again, and taking both would repeat text.
     */
    public List<SessionAction> generated(int ofEpoch, int position, int[] came) {
        if (ended || choosing || ofEpoch != epoch) {
            return List.of();
        }
        int first = position + 1;
        if (first > known) {
            Problem gap = Problem.notRun(ProblemKind.BACKEND_FAILED, "The last stage skipped a token.");
            return replace(stages.get(stages.size() - 1), gap);
        }
        return take(came, known - first);
    }

    /**
     * Ends the session with a problem: its deadline passed, its caller left, or no replacement was found.
     *
     * <p>The problem's outcome is set here: a session whose tokens went to a stage may have run in part, and only
     * one that was never fed is reported as not run.
     */
    public List<SessionAction> giveUp(Problem problem) {
        if (ended) {
            return List.of();
        }
        List<SessionAction> actions = closeAll();
        Outcome outcome = fed ? Outcome.UNKNOWN : Outcome.NOT_RUN;
        actions.add(new Fail(new Problem(problem.kind(), outcome, problem.detail(), problem.retryAfter())));
        return actions;
    }

    /** Agents that failed this session and must not be chosen for it again. */
    public Set<Incarnation> failed() {
        return Set.copyOf(failed);
    }

    /** The stages of the present epoch, in order. */
    public List<Incarnation> stages() {
        return stages;
    }

    /** The present epoch, from 1; 0 before the first. */
    public int epoch() {
        return epoch;
    }

    /** Number of tokens passed to the caller. */
    public int generatedTokens() {
        return known - promptTokens;
    }

    /** Whether the session has ended. */
    public boolean isEnded() {
        return ended;
    }

    /** Whether the session waits for {@link #use}. */
    public boolean isChoosing() {
        return choosing;
    }

    /** How many times stages were replaced. */
    public int rebuilds() {
        return rebuilds;
    }

    private boolean isStale(int ofEpoch, int stage) {
        return ended || choosing || ofEpoch != epoch || stage < 0 || stage >= stages.size();
    }

    /** Each stage is told what its successor lacks; the entry is the successor of the last and feeds the first. */
    private List<SessionAction> startSteps() {
        List<SessionAction> actions = new ArrayList<>();
        int last = stages.size() - 1;
        actions.add(new SendFrom(epoch, last, known - 1));
        for (int stage = last - 1; stage >= 0; stage--) {
            actions.add(new SendFrom(epoch, stage, opened[stage + 1]));
        }
        fed = true;
        if (opened[0] < known) {
            actions.add(new Feed(epoch, opened[0], Arrays.copyOfRange(tokens, opened[0], known)));
        }
        return actions;
    }

    private List<SessionAction> replace(Incarnation agent, Problem why) {
        failed.add(agent);
        return rechoose(why);
    }

    private List<SessionAction> rechoose(Problem why) {
        if (rebuilds >= maxRebuilds) {
            return giveUp(why);
        }
        rebuilds++;
        choosing = true;
        return List.of(new Rechoose(why.kind().text()));
    }

    private List<SessionAction> take(int[] came, int skip) {
        List<SessionAction> actions = new ArrayList<>();
        int[] fresh = new int[Math.max(0, came.length - skip)];
        int count = 0;
        boolean whole = false;
        for (int i = skip; i < came.length && !whole; i++) {
            whole = came[i] == Vocabulary.END || generatedTokens() + 1 == maxTokens;
            if (came[i] != Vocabulary.END) {
                fresh[count++] = came[i];
            }
            add(came[i]);
        }
        if (count > 0) {
            actions.add(new Emit(Arrays.copyOf(fresh, count)));
        }
        if (whole) {
            actions.addAll(closeAll());
            actions.add(new Finish());
        }
        return actions;
    }

    private void add(int token) {
        if (known == tokens.length) {
            tokens = Arrays.copyOf(tokens, tokens.length * 2);
        }
        tokens[known++] = token;
    }

    private List<SessionAction> closeAll() {
        ended = true;
        List<SessionAction> actions = new ArrayList<>();
        stages.forEach(agent -> actions.add(new Close(agent, epoch)));
        return actions;
    }
}
