package org.cornelramp.core.poison;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * Simulates servers that run several requests at once, some of which crash their server. Requests of a crashed server
 * are retried on other servers; a poison request is also sent again by its caller. Crash reports arrive late, twice and
 * out of order.
 */
final class CrashingFleet {
    private static final int SLOTS = 8;
    private static final int TICK_MILLIS = 20;
    private static final int MAX_ATTEMPTS = 2;

    private final Random random;
    private final boolean isolateSuspects;
    private final int maxReportDelayTicks;
    private final List<List<Run>> servers = new ArrayList<>();
    private final List<Delayed> delayed = new ArrayList<>();
    private final PoisonDetector detector = PoisonDetector.standard(BlameThresholds.OBSERVED);
    private final Map<String, Integer> crashes = new HashMap<>();
    private Instant now = Instant.ofEpochSecond(1_000);
    private int tick;
    private int next;

    /** Innocent requests that were refused as poison. */
    final Set<String> wronglyRefused = new HashSet<>();

    /** Innocent requests that would be refused if two crashes alone made a culprit. */
    final Set<String> wronglyRefusedByCount = new HashSet<>();

    CrashingFleet(int size, boolean isolateSuspects, int maxReportDelayTicks, Random random) {
        this.random = random;
        this.isolateSuspects = isolateSuspects;
        this.maxReportDelayTicks = maxReportDelayTicks;
        for (int i = 0; i < size; i++) {
            servers.add(new ArrayList<>());
        }
    }

    /**
     * @param poisons number of poison requests, each sent every two seconds until it is refused
     * @param popular share of the innocent requests that are identical, in percent
     * @param otherCrashesPerSecond crashes of servers that no request causes
     */
    void run(int seconds, int poisons, int popular, double otherCrashesPerSecond) {
        for (tick = 0; tick < seconds * 1_000 / TICK_MILLIS; tick++) {
            now = now.plusMillis(TICK_MILLIS);
            deliver();
            for (int i = 0; i < servers.size() / 5; i++) {
                String fingerprint = random.nextInt(100) < popular ? "popular" : "i" + next++;
                start(new Run(fingerprint, 0, 2 + random.nextInt(50)));
            }
            for (int p = 0; p < poisons; p++) {
                if ((tick + p * 7) % (2_000 / TICK_MILLIS) == 0) {
                    start(new Run("poison" + p, 0, 2 + random.nextInt(10)));
                }
            }
            advance();
            if (random.nextDouble() < otherCrashesPerSecond * TICK_MILLIS / 1e3) {
                crash(random.nextInt(servers.size()));
            }
        }
    }

    boolean isSetAside(String fingerprint) {
        return detector.isPoison(fingerprint, now);
    }

    int crashesOf(String fingerprint) {
        return crashes.getOrDefault(fingerprint, 0);
    }

    private void start(Run run) {
        if (detector.isPoison(run.fingerprint, now)) {
            if (!run.fingerprint.startsWith("poison")) {
                wronglyRefused.add(run.fingerprint);
            }
            return;
        }
        for (int i = 0; i < 5; i++) {
            List<Run> server = servers.get(random.nextInt(servers.size()));
            List<String> beside = server.stream().map(Run::fingerprint).toList();
            boolean allowed = !isolateSuspects || detector.mayRunBeside(run.fingerprint, beside, now);
            if (server.size() < SLOTS && allowed) {
                server.add(run);
                return;
            }
        }
    }

    private void advance() {
        for (int s = 0; s < servers.size(); s++) {
            List<Run> server = servers.get(s);
            server.replaceAll(r -> new Run(r.fingerprint, r.attempt, r.ticks - 1));
            Run fatal = server.stream()
                    .filter(r -> r.ticks <= 0 && r.fingerprint.startsWith("poison"))
                    .findFirst()
                    .orElse(null);
            if (fatal != null) {
                crashes.merge(fatal.fingerprint, 1, Integer::sum);
                crash(s);
                continue;
            }
            server.stream().filter(r -> r.ticks <= 0).forEach(r -> detector.recordCompletion(r.fingerprint, now));
            server.removeIf(r -> r.ticks <= 0);
        }
    }

    private void crash(int s) {
        List<Run> lost = new ArrayList<>(servers.get(s));
        servers.get(s).clear();
        Set<String> suspects = new HashSet<>();
        for (Run r : lost) {
            suspects.add(r.fingerprint);
            boolean second = crashes.merge("at " + r.fingerprint, 1, Integer::sum) == 2;
            if (second && !r.fingerprint.startsWith("poison")) {
                wronglyRefusedByCount.add(r.fingerprint);
            }
        }
        CrashReport report = new CrashReport("crash" + tick + "-" + s, now, suspects);
        delayed.add(new Delayed(tick + random.nextInt(maxReportDelayTicks + 1), report));
        delayed.add(new Delayed(tick + random.nextInt(2 * maxReportDelayTicks + 1), report));
        for (Run r : lost) {
            if (r.attempt + 1 < MAX_ATTEMPTS) {
                delayed.add(new Delayed(tick + 2, new Run(r.fingerprint, r.attempt + 1, 2 + random.nextInt(50))));
            }
        }
    }

    private void deliver() {
        List<Delayed> ready = delayed.stream().filter(l -> l.tick <= tick).toList();
        delayed.removeAll(ready);
        for (Delayed l : ready) {
            if (l.what instanceof CrashReport report) {
                detector.recordCrash(report, now);
            } else {
                start((Run) l.what);
            }
        }
    }

    private record Run(String fingerprint, int attempt, int ticks) {}

    private record Delayed(int tick, Object what) {}
}
