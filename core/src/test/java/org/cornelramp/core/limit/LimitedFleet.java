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

/** Entries with one limiter each, one agent that sums their demand, and heartbeats that take a while both ways. */
final class LimitedFleet {
    static final int BEAT_MILLIS = 150;
    private static final Incarnation AGENT = new Incarnation(new BackendServerId("agent"), 1);

    private final List<Limiter> entries = new ArrayList<>();
    private final Deque<Runnable> late = new ArrayDeque<>();
    private final PriorityQueue<Ending> endings = new PriorityQueue<>((a, b) -> a.at.compareTo(b.at));
    private final Random random;
    private final Row row;
    private final int delayBeats;
    private Instant now = Instant.ofEpochSecond(1_000);

    int wanted;
    int admitted;
    long tokens;
    int mostInProgress;
    double progressSeconds;
    final List<Integer> admittedEachSecond = new ArrayList<>();

    LimitedFleet(int size, RowValues limits, int delayBeats, Random random) {
        this.random = random;
        this.delayBeats = delayBeats;
        this.row = new Row(new RowKey(new OrganisationId("o"), new ServiceName("s")), 1, limits);
        for (int i = 0; i < size; i++) {
            entries.add(new Limiter(Duration.ofSeconds(2)));
        }
        entries.forEach(e -> e.told(AGENT, Map.of(), size, now));
    }

    static RowValues limits(double requests, int concurrency, double tokens) {
        return new RowValues(1, 0, requests, concurrency, tokens, 1_000, 99, List.of());
    }

    /** Runs with Poisson arrivals at {@code demand(entry, second)}, each request taking {@code hold}. */
    void run(int seconds, ToDoubleBiFunction<Integer, Double> demand, Duration hold, int tokensEach) {
        for (int ms = 0; ms < seconds * 1_000; ms++) {
            now = now.plusMillis(1);
            if (ms % BEAT_MILLIS == 0) {
                beat();
            }
            while (!endings.isEmpty() && !endings.peek().at.isAfter(now)) {
                endings.poll().end.run();
            }
            for (int e = 0; e < entries.size(); e++) {
                if (random.nextDouble() < demand.applyAsDouble(e, ms / 1e3) / 1e3) {
                    request(e, hold, tokensEach);
                }
            }
            mostInProgress = Math.max(mostInProgress, endings.size());
            progressSeconds += endings.size() / 1e3;
            if (ms % 1_000 == 999) {
                admittedEachSecond.add(admitted);
            }
        }
    }

    /** Most requests let in within any {@code seconds} whole seconds. */
    int mostWithin(int seconds) {
        int most = 0;
        for (int i = seconds; i < admittedEachSecond.size(); i++) {
            most = Math.max(most, admittedEachSecond.get(i) - admittedEachSecond.get(i - seconds));
        }
        return most;
    }

    private void request(int entry, Duration hold, int tokensEach) {
        wanted++;
        Limiter limiter = entries.get(entry);
        Either<Problem, Permit> answer = limiter.admit(row, tokensEach, now, random);
        answer.peek(permit -> {
            admitted++;
            int used = 1 + random.nextInt(Math.max(1, tokensEach));
            tokens += used;
            Instant end = now.plus(hold);
            endings.add(new Ending(end, () -> limiter.finished(permit, used, end)));
        });
    }

    /** Each entry tells its demand; the agent's sum reaches the entries some beats later. */
    private void beat() {
        Map<String, Double> sum = new HashMap<>();
        entries.forEach(e -> e.demand(now).forEach((key, value) -> sum.merge(key, value, Double::sum)));
        late.add(() -> entries.forEach(e -> e.told(AGENT, sum, entries.size(), now)));
        if (late.size() > delayBeats) {
            late.poll().run();
        }
    }

    private record Ending(Instant at, Runnable end) {}
}
