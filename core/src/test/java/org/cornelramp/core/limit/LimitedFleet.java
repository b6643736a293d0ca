package org.cornelramp.core.limit;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.ToDoubleBiFunction;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.model.OrganisationId;
import org.cornelramp.core.model.Problem;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.core.table.Row;
import org.cornelramp.core.table.RowKey;
import org.cornelramp.core.table.RowValues;

/** Simulates entries with one limiter each, an agent that sums their demand, and delayed heartbeats in both directions. */
final class LimitedFleet {
    static final int HEARTBEAT_MILLIS = 150;
    private static final Incarnation AGENT = new Incarnation(new BackendServerId("agent"), 1);

    private final List<Limiter> entries = new ArrayList<>();
    private final Deque<Runnable> pendingReports = new ArrayDeque<>();
    private final PriorityQueue<Completion> completions = new PriorityQueue<>((a, b) -> a.at.compareTo(b.at));
    private final Random random;
    private final Row row;
    private final int delayHeartbeats;
    private Instant now = Instant.ofEpochSecond(1_000);

    int wanted;
    int admitted;
    long tokens;
    int maxInProgress;
    double requestSeconds;
    final List<Integer> admittedEachSecond = new ArrayList<>();

    LimitedFleet(int size, RowValues limits, int delayHeartbeats, Random random) {
        this.random = random;
        this.delayHeartbeats = delayHeartbeats;
        this.row = new Row(new RowKey(new OrganisationId("o"), new ServiceName("s")), 1, limits);
        for (int i = 0; i < size; i++) {
            entries.add(new Limiter(Duration.ofSeconds(2)));
        }
        entries.forEach(e -> e.recordReport(AGENT, Map.of(), size, now));
    }

    static RowValues limits(double requests, int concurrency, double tokens) {
        return new RowValues(1, 0, requests, concurrency, tokens, 1_000, 99, List.of());
    }

    /**
     * Runs with Poisson arrivals at {@code demand(entry, second)} requests per second; each request takes
     * {@code serviceTime}.
     */
    void run(int seconds, ToDoubleBiFunction<Integer, Double> demand, Duration serviceTime, int tokensEach) {
        for (int ms = 0; ms < seconds * 1_000; ms++) {
            now = now.plusMillis(1);
            if (ms % HEARTBEAT_MILLIS == 0) {
                heartbeat();
            }
            while (!completions.isEmpty() && !completions.peek().at.isAfter(now)) {
                completions.poll().end.run();
            }
            for (int e = 0; e < entries.size(); e++) {
                if (random.nextDouble() < demand.applyAsDouble(e, ms / 1e3) / 1e3) {
                    request(e, serviceTime, tokensEach);
                }
            }
            maxInProgress = Math.max(maxInProgress, completions.size());
            requestSeconds += completions.size() / 1e3;
            if (ms % 1_000 == 999) {
                admittedEachSecond.add(admitted);
            }
        }
    }

    /** Maximum number of requests admitted within any {@code seconds} whole seconds. */
    int maxAdmittedWithin(int seconds) {
        int max = 0;
        for (int i = seconds; i < admittedEachSecond.size(); i++) {
            max = Math.max(max, admittedEachSecond.get(i) - admittedEachSecond.get(i - seconds));
        }
        return max;
    }

    private void request(int entry, Duration serviceTime, int tokensEach) {
        wanted++;
        Limiter limiter = entries.get(entry);
        Either<Problem, Permit> answer = limiter.admit(row, tokensEach, now, random);
        answer.peek(permit -> {
            admitted++;
            int used = 1 + random.nextInt(Math.max(1, tokensEach));
            tokens += used;
            Instant end = now.plus(serviceTime);
            completions.add(new Completion(end, () -> limiter.release(permit, used, end)));
        });
    }

    /** Each entry reports its demand; the agent's sum reaches the entries some heartbeats later. */
    private void heartbeat() {
        Map<String, Double> sum = new HashMap<>();
        entries.forEach(e -> e.demand(now).forEach((key, value) -> sum.merge(key, value, Double::sum)));
        pendingReports.add(() -> entries.forEach(e -> e.recordReport(AGENT, sum, entries.size(), now)));
        if (pendingReports.size() > delayHeartbeats) {
            pendingReports.poll().run();
        }
    }

    private record Completion(Instant at, Runnable end) {}
}
