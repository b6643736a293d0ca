package org.cornelramp.core.route;

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
 * Engines of mixed speeds that hold the whole model, and several entries that choose among them by news that is a
 * heartbeat old.
 */
final class MixedFleet {
    private static final int SLOTS = 16;
    private static final int BEAT_MILLIS = 150;
    private static final double[] BASE_MILLIS = {2, 4, 8, 16};

    private final List<Engine> engines = new ArrayList<>();
    private final List<Entry> entries = new ArrayList<>();
    private final Random random;
    private final Duration budget;
    private int ms;

    final List<Integer> times = new ArrayList<>();
    int refused;
    long inTimeTokens;

    MixedFleet(int size, int entryCount, ChoicePolicy policy, Duration budget, Random random) {
        this.random = random;
        this.budget = budget;
        for (int i = 0; i < size; i++) {
            engines.add(new Engine(BASE_MILLIS[i % BASE_MILLIS.length]));
        }
        for (int i = 0; i < entryCount; i++) {
            entries.add(new Entry(policy.chooser(PrefixHints.NONE), size));
        }
    }

    /** Tokens a second of all engines together. */
    double capacity() {
        return engines.stream().mapToDouble(Engine::fullSpeed).sum();
    }

    /** Runs with Poisson arrivals of requests of 20 to 180 tokens. */
    void run(int seconds, double load) {
        double perMilli = load * capacity() / 100 / 1_000;
        for (ms = 0; ms < seconds * 1_000; ms++) {
            if (ms % BEAT_MILLIS == 0) {
                engines.forEach(Engine::tell);
                entries.forEach(Entry::heard);
            }
            engines.forEach(Engine::advance);
            for (double left = perMilli; left > 0; left--) {
                if (random.nextDouble() < left) {
                    send(entries.get(random.nextInt(entries.size())), 20 + random.nextInt(161));
                }
            }
        }
    }

    /** The time, in milliseconds, within which {@code part} of the answered requests ended. */
    int quantile(double part) {
        int[] sorted = times.stream().mapToInt(t -> t).sorted().toArray();
        return sorted[(int) (part * (sorted.length - 1))];
    }

    double mean() {
        return times.stream().mapToInt(t -> t).average().orElse(0);
    }

    /** Tokens a second of answers in time, over the capacity. */
    double throughput() {
        return inTimeTokens * 1_000.0 / ms / capacity();
    }

    private void send(Entry entry, int tokens) {
        Instant now = Fleets.NOW.plusMillis(ms);
        List<Candidate> candidates = new ArrayList<>();
        for (int i = 0; i < engines.size(); i++) {
            Candidate c = Fleets.stage("b" + i, 0, 4, 4, engines.get(i).told);
            candidates.add(new Candidate(
                    c.incarnation(), c.dataCentre(), c.offer(), c.load(), entry.sent[i], entry.calls[i], 1));
        }
        Work work = new Work(Fleets.MODEL, 0, tokens, now.plus(budget), "", Set.of());
        entry.chooser
                .choose(candidates, work, Fleets.HERE, StaticLinkCosts.DEFAULTS, now, random)
                .peek(choice -> {
                    int i = candidates.indexOf(choice.stages().get(0));
                    entry.sent[i] += tokens;
                    entry.calls[i]++;
                    engines.get(i).add(new Job(tokens, ms, () -> entry.calls[i]--));
                })
                .peekLeft(p -> refused++);
    }

    /** Runs iterations over up to {@link #SLOTS} sessions; more wait, and are given up when it is too late. */
    private final class Engine {
        private final double baseMillis;
        private final List<Job> sessions = new ArrayList<>();
        private final Deque<Job> waiting = new ArrayDeque<>();
        private AgentLoad told;

        Engine(double baseMillis) {
            this.baseMillis = baseMillis;
            tell();
        }

        double fullSpeed() {
            return SLOTS / stepMillis(SLOTS) * 1_000;
        }

        void tell() {
            int batch = sessions.size();
            double left = sessions.stream().mapToDouble(j -> j.left).sum();
            double queued = waiting.stream().mapToDouble(j -> j.left).sum();
            double step = stepMillis(Math.max(1, batch));
            double speed = Math.max(1, batch) / step * 1_000;
            told = new AgentLoad(
                    batch, waiting.size(), (long) (left + queued), speed, (long) (step * 1e3), entries.size());
        }

        void add(Job job) {
            waiting.add(job);
            start();
        }

        void advance() {
            double tokens = sessions.isEmpty() ? 0 : 1 / stepMillis(sessions.size());
            for (Job j : List.copyOf(sessions)) {
                j.left -= tokens;
                if (j.left <= 0) {
                    sessions.remove(j);
                    j.ended.run();
                    times.add(ms - j.sent);
                    inTimeTokens += ms - j.sent <= budget.toMillis() ? j.tokens : 0;
                }
            }
            start();
        }

        private void start() {
            while (sessions.size() < SLOTS && !waiting.isEmpty()) {
                Job j = waiting.poll();
                if (ms + j.tokens * stepMillis(SLOTS) > j.sent + budget.toMillis()) {
                    refused++;
                    j.ended.run();
                } else {
                    sessions.add(j);
                }
            }
        }

        private double stepMillis(int batch) {
            return baseMillis * (1 + batch / (double) SLOTS);
        }
    }

    private static final class Entry {
        private final Chooser chooser;
        private final long[] sent;
        private final int[] calls;

        Entry(Chooser chooser, int size) {
            this.chooser = chooser;
            this.sent = new long[size];
            this.calls = new int[size];
        }

        void heard() {
            Arrays.fill(sent, 0);
        }
    }

    private static final class Job {
        private final int tokens;
        private final int sent;
        private final Runnable ended;
        private double left;

        Job(int tokens, int sent, Runnable ended) {
            this.tokens = tokens;
            this.sent = sent;
            this.ended = ended;
            this.left = tokens;
        }
    }
}
