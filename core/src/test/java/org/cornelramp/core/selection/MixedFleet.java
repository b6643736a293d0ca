package org.cornelramp.core.selection;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.cornelramp.core.model.AgentLoad;

/**
 * Simulates engines of different speeds, each with the whole model, and several entries that choose among them by
 * load reports that are up to one heartbeat old.
 */
final class MixedFleet {
    private static final int SLOTS = 16;
    private static final int HEARTBEAT_MILLIS = 150;
    private static final double[] BASE_STEP_MILLIS = {2, 4, 8, 16};

    private final List<Engine> engines = new ArrayList<>();
    private final List<Entry> entries = new ArrayList<>();
    private final Random random;
    private final Duration budget;
    private int nowMillis;

    final List<Integer> answerMillis = new ArrayList<>();
    int refused;
    long inTimeTokens;

    MixedFleet(int size, int entryCount, ChoicePolicy policy, Duration budget, Random random) {
        this.random = random;
        this.budget = budget;
        for (int i = 0; i < size; i++) {
            engines.add(new Engine(BASE_STEP_MILLIS[i % BASE_STEP_MILLIS.length]));
        }
        for (int i = 0; i < entryCount; i++) {
            entries.add(new Entry(policy.newChooser(PrefixHints.NONE), size));
        }
    }

    /** Tokens per second of all engines together. */
    double totalTokensPerSecond() {
        return engines.stream().mapToDouble(Engine::maxTokensPerSecond).sum();
    }

    /** Runs the simulation with Poisson arrivals of requests of 20 to 180 tokens. */
    void run(int seconds, double load) {
        double arrivalsPerMilli = load * totalTokensPerSecond() / 100 / 1_000;
        for (nowMillis = 0; nowMillis < seconds * 1_000; nowMillis++) {
            if (nowMillis % HEARTBEAT_MILLIS == 0) {
                engines.forEach(Engine::reportLoad);
                entries.forEach(Entry::onHeartbeats);
            }
            engines.forEach(Engine::advance);
            for (double left = arrivalsPerMilli; left > 0; left--) {
                if (random.nextDouble() < left) {
                    send(entries.get(random.nextInt(entries.size())), 20 + random.nextInt(161));
                }
            }
        }
    }

    /** The given quantile of the answer times, in milliseconds. */
    int answerMillisQuantile(double fraction) {
        int[] sorted = answerMillis.stream().mapToInt(t -> t).sorted().toArray();
        return sorted[(int) (fraction * (sorted.length - 1))];
    }

    double meanAnswerMillis() {
        return answerMillis.stream().mapToInt(t -> t).average().orElse(0);
    }

    /** Tokens per second of answers in time, relative to the total capacity. */
    double relativeThroughput() {
        return inTimeTokens * 1_000.0 / nowMillis / totalTokensPerSecond();
    }

    private void send(Entry entry, int tokens) {
        Instant now = TestFleets.NOW.plusMillis(nowMillis);
        List<Candidate> candidates = new ArrayList<>();
        for (int i = 0; i < engines.size(); i++) {
            Candidate c = TestFleets.stage("b" + i, 0, 4, 4, engines.get(i).reportedLoad);
            candidates.add(new Candidate(
                    c.incarnation(),
                    c.dataCentre(),
                    c.offer(),
                    c.load(),
                    entry.unreportedTokens[i],
                    entry.outstandingCalls[i],
                    1));
        }
        RoutingRequest request = new RoutingRequest(TestFleets.MODEL, 0, tokens, now.plus(budget), "", Set.of());
        entry.chooser
                .choose(candidates, request, TestFleets.HERE, StaticLinkCosts.DEFAULTS, now, random)
                .peek(choice -> {
                    int i = candidates.indexOf(choice.stages().get(0));
                    entry.unreportedTokens[i] += tokens;
                    entry.outstandingCalls[i]++;
                    engines.get(i).add(new Job(tokens, nowMillis, () -> entry.outstandingCalls[i]--));
                })
                .peekLeft(p -> refused++);
    }

    /** Runs up to {@link #SLOTS} requests at once; more wait, and are refused once their deadline is unreachable. */
    private final class Engine {
        private final double baseStepMillis;
        private final List<Job> running = new ArrayList<>();
        private final Deque<Job> waiting = new ArrayDeque<>();
        private AgentLoad reportedLoad;

        Engine(double baseStepMillis) {
            this.baseStepMillis = baseStepMillis;
            reportLoad();
        }

        double maxTokensPerSecond() {
            return SLOTS / stepMillis(SLOTS) * 1_000;
        }

        void reportLoad() {
            int batch = running.size();
            double left = running.stream().mapToDouble(j -> j.tokensLeft).sum();
            double queued = waiting.stream().mapToDouble(j -> j.tokensLeft).sum();
            double step = stepMillis(Math.max(1, batch));
            double speed = Math.max(1, batch) / step * 1_000;
            reportedLoad = new AgentLoad(
                    batch, waiting.size(), (long) (left + queued), speed, (long) (step * 1e3), entries.size());
        }

        void add(Job job) {
            waiting.add(job);
            start();
        }

        void advance() {
            double tokens = running.isEmpty() ? 0 : 1 / stepMillis(running.size());
            for (Job j : List.copyOf(running)) {
                j.tokensLeft -= tokens;
                if (j.tokensLeft <= 0) {
                    running.remove(j);
                    j.onEnd.run();
                    answerMillis.add(nowMillis - j.sentMillis);
                    inTimeTokens += nowMillis - j.sentMillis <= budget.toMillis() ? j.tokens : 0;
                }
            }
            start();
        }

        private void start() {
            while (running.size() < SLOTS && !waiting.isEmpty()) {
                Job j = waiting.poll();
                if (nowMillis + j.tokens * stepMillis(SLOTS) > j.sentMillis + budget.toMillis()) {
                    refused++;
                    j.onEnd.run();
                } else {
                    running.add(j);
                }
            }
        }

        private double stepMillis(int batch) {
            return baseStepMillis * (1 + batch / (double) SLOTS);
        }
    }

    private static final class Entry {
        private final Chooser chooser;
        private final long[] unreportedTokens;
        private final int[] outstandingCalls;

        Entry(Chooser chooser, int size) {
            this.chooser = chooser;
            this.unreportedTokens = new long[size];
            this.outstandingCalls = new int[size];
        }

        void onHeartbeats() {
            Arrays.fill(unreportedTokens, 0);
        }
    }

    private static final class Job {
        private final int tokens;
        private final int sentMillis;
        private final Runnable onEnd;
        private double tokensLeft;

        Job(int tokens, int sentMillis, Runnable onEnd) {
            this.tokens = tokens;
            this.sentMillis = sentMillis;
            this.onEnd = onEnd;
            this.tokensLeft = tokens;
        }
    }
}
