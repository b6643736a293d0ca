package org.cornelramp.core.session;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.model.Problem;
import org.cornelramp.core.model.ProblemKind;

/**
 * Guards against lost, repeated or reordered tokens when stages die or lose links at any time and their messages arrive
 * late or twice: the caller must receive each token once and in order, and a finished answer must be complete.
 */
class PipelineSessionProperties {
    private static final int STAGES = 3;
    private static final int PROMPT = 5;

    @Property(seed = "71", tries = 2_000)
    boolean tokensAreEmittedOnceAndInOrder(@ForAll long seed, @ForAll @IntRange(min = 1, max = 30) int maxTokens) {
        Simulation simulation = new Simulation(new Random(seed), maxTokens);
        simulation.run();
        return simulation.isCorrect();
    }

    @Property(seed = "72", tries = 500)
    boolean olderEpochsChangeNothing(@ForAll @IntRange(min = 1, max = 6) int rebuilds) {
        PipelineSession session = new PipelineSession(new long[PROMPT], 8, 8);
        session.assignStages(stages(0));
        for (int i = 1; i <= rebuilds; i++) {
            session.onLost(session.epoch(), 1, lostProblem());
            session.assignStages(stages(i));
        }
        int before = session.generatedTokens();
        List<SessionAction> actions = new ArrayList<>();
        for (int old = 0; old < session.epoch(); old++) {
            actions.addAll(session.onGenerated(old, PROMPT - 1, new int[] {9}));
            actions.addAll(session.onOpened(old, 0, 3));
            actions.addAll(session.onLost(old, 0, lostProblem()));
        }
        return actions.isEmpty() && session.generatedTokens() == before && session.epoch() == rebuilds + 1;
    }

    private static List<Incarnation> stages(int incarnation) {
        List<Incarnation> stages = new ArrayList<>();
        for (int i = 0; i < STAGES; i++) {
            stages.add(new Incarnation(new BackendServerId("s" + i), incarnation));
        }
        return stages;
    }

    private static Problem lostProblem() {
        return Problem.notRun(ProblemKind.BACKEND_LOST, "lost");
    }

    /** The token at an index of the expected answer. */
    private static int expectedToken(int index) {
        return 1 + (index * 31) % 97;
    }

    /** Simulates agents that answer after random delays or die; messages of one epoch keep their order. */
    private static final class Simulation {
        private final Random random;
        private final int maxTokens;
        private final PipelineSession session;
        private final Map<Incarnation, Integer> positions = new HashMap<>();
        private final Map<Integer, Deque<Runnable>> queues = new HashMap<>();
        private final List<Integer> emitted = new ArrayList<>();
        private int nextIncarnation;
        private int endActions;
        private boolean finished;
        private boolean actedAfterEnd;

        Simulation(Random random, int maxTokens) {
            this.random = random;
            this.maxTokens = maxTokens;
            this.session = new PipelineSession(new long[PROMPT], maxTokens, 6);
        }

        void run() {
            apply(session.assignStages(stages(nextIncarnation++)));
            for (int i = 0; i < 400 && !session.isEnded(); i++) {
                if (random.nextInt(25) == 0) {
                    apply(session.onLost(session.epoch(), random.nextInt(STAGES), lostProblem()));
                } else if (random.nextInt(40) == 0) {
                    Incarnation agent = session.stages().get(random.nextInt(STAGES));
                    apply(
                            random.nextBoolean()
                                    ? session.onLost(agent, lostProblem())
                                    : session.onLinkLost(agent, lostProblem()));
                } else {
                    deliver();
                }
            }
            apply(session.onGenerated(session.epoch(), PROMPT - 1, new int[] {5}));
        }

        boolean isCorrect() {
            for (int i = 0; i < emitted.size(); i++) {
                if (emitted.get(i) != expectedToken(i)) {
                    return false;
                }
            }
            return !actedAfterEnd && endActions <= 1 && (!finished || emitted.size() == maxTokens);
        }

        private void deliver() {
            List<Deque<Runnable>> nonEmpty =
                    queues.values().stream().filter(queue -> !queue.isEmpty()).toList();
            if (!nonEmpty.isEmpty()) {
                nonEmpty.get(random.nextInt(nonEmpty.size())).poll().run();
            }
        }

        private void apply(List<SessionAction> actions) {
            actedAfterEnd |= endActions > 0 && !actions.isEmpty();
            for (SessionAction action : actions) {
                if (action instanceof SessionAction.Open open) {
                    open(open);
                } else if (action instanceof SessionAction.SendFrom from && from.stage() == STAGES - 1) {
                    generate(from);
                } else if (action instanceof SessionAction.Emit emit) {
                    for (int token : emit.tokens()) {
                        emitted.add(token);
                    }
                } else if (action instanceof SessionAction.SelectStages) {
                    rechoose();
                } else if (action instanceof SessionAction.Finish) {
                    finished = true;
                    endActions++;
                } else if (action instanceof SessionAction.Fail) {
                    endActions++;
                }
            }
        }

        private void open(SessionAction.Open open) {
            for (int i = 0; i < STAGES; i++) {
                int stage = i;
                int position = positions.computeIfAbsent(open.stages().get(i), key -> 0);
                queue(open.epoch(), () -> apply(session.onOpened(open.epoch(), stage, position)));
            }
        }

        private void generate(SessionAction.SendFrom from) {
            int next = from.position();
            int last = PROMPT - 1 + maxTokens;
            while (next < last) {
                int count = Math.min(last - next, 1 + random.nextInt(3));
                int[] tokens = new int[count];
                for (int i = 0; i < count; i++) {
                    tokens[i] = expectedToken(next + i - (PROMPT - 1));
                }
                int position = next;
                Runnable token = () -> apply(session.onGenerated(from.epoch(), position, tokens));
                queue(from.epoch(), token);
                if (random.nextInt(6) == 0) {
                    queue(from.epoch(), token);
                }
                next += count;
            }
        }

        private void rechoose() {
            List<Incarnation> next = new ArrayList<>(session.stages());
            for (int i = 0; i < STAGES; i++) {
                if (session.failedAgents().contains(next.get(i))) {
                    next.set(i, new Incarnation(new BackendServerId("s" + i), nextIncarnation++));
                }
            }
            if (random.nextInt(10) == 0) {
                apply(session.fail(lostProblem()));
            } else {
                apply(session.assignStages(next));
            }
        }

        private void queue(int epoch, Runnable message) {
            queues.computeIfAbsent(epoch, key -> new ArrayDeque<>()).add(message);
        }
    }
}
