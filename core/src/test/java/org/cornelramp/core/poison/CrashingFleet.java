package org.cornelramp.core.poison;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * Servers that run several requests side by side, some of which crash the server they run on. Requests of a crashed
 * server are tried again elsewhere; a poison request is also sent again by its caller. Reports arrive late, twice
 * and out of order.
 */
final class CrashingFleet {
    private static final int SLOTS = 8;
    private static final int TICK_MILLIS = 20;
    private static final int MAX_ATTEMPTS = 2;

    private final Random random;
    private final boolean apart;
    private final int reportTicks;
    private final List<List<Run>> servers = new ArrayList<>();
    private final List<Late> late = new ArrayList<>();
    private final PoisonDetector setAside = new PoisonDetector(Duration.ofMinutes(10), 256);
    private final Map<String, Integer> crashes = new HashMap<>();
    private Instant now = Instant.ofEpochSecond(1_000);
    private int tick;
    private int next;

    /** Innocent requests that were set aside by the rule, and that a plain count of two would set aside. */
    final Set<String> wronged = new HashSet<>();

    final Set<String> wrongedByCount = new HashSet<>();

    CrashingFleet(int size, boolean apart, int reportTicks, Random random) {
        this.random = random;
        this.apart = apart;
        this.reportTicks = reportTicks;
        for (int i = 0; i < size; i++) {
            servers.add(new ArrayList<>());
        }
    }

    /**
     * @param poisons poison requests, each sent again every two seconds until it is set aside
     * @param popular part of the innocent requests that are all alike, in percent
     * @param otherCrashesPerSecond crashes of servers for reasons of their own
     */
    void run(int seconds, int poisons, int popular, double otherCrashesPerSecond) {
        for (tick = 0; tick < seconds * 1_000 / TICK_MILLIS; tick++) {
            now = now.plusMillis(TICK_MILLIS);
            deliver();
            for (int i = 0; i < servers.size() / 5; i++) {
                String alike = random.nextInt(100) < popular ? "popular" : "i" + next++;
                start(new Run(alike, 0, 2 + random.nextInt(50)));
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
        return setAside.isPoison(fingerprint, now);
    }

    int crashesOf(String fingerprint) {
        return crashes.getOrDefault(fingerprint, 0);
    }

    private void start(Run run) {
        if (setAside.isPoison(run.fingerprint, now)) {
            if (!run.fingerprint.startsWith("poison")) {
                wronged.add(run.fingerprint);
            }
            return;
        }
        for (int i = 0; i < 5; i++) {
            List<Run> server = servers.get(random.nextInt(servers.size()));
            List<String> beside = server.stream().map(Run::fingerprint).toList();
            boolean may = !apart || setAside.mayRunBeside(run.fingerprint, beside, now);
            if (server.size() < SLOTS && may) {
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
            server.stream().filter(r -> r.ticks <= 0).forEach(r -> setAside.recordCompletion(r.fingerprint, now));
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
                wrongedByCount.add(r.fingerprint);
            }
        }
        CrashReport report = new CrashReport("crash" + tick + "-" + s, now, suspects);
        late.add(new Late(tick + random.nextInt(reportTicks + 1), report));
        late.add(new Late(tick + random.nextInt(2 * reportTicks + 1), report));
        for (Run r : lost) {
            if (r.attempt + 1 < MAX_ATTEMPTS) {
                late.add(new Late(tick + 2, new Run(r.fingerprint, r.attempt + 1, 2 + random.nextInt(50))));
            }
        }
    }

    private void deliver() {
        List<Late> ready = late.stream().filter(l -> l.tick <= tick).toList();
        late.removeAll(ready);
        for (Late l : ready) {
            if (l.what instanceof CrashReport report) {
                setAside.recordCrash(report, now);
            } else {
                start((Run) l.what);
            }
        }
    }

    private record Run(String fingerprint, int attempt, int ticks) {}

    private record Late(int tick, Object what) {}
}
