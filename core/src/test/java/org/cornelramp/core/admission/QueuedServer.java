package org.cornelramp.core.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.PriorityQueue;
import java.util.Random;
import org.cornelramp.core.model.OrganisationId;

/** Simulates a backend server with a few slots behind a queue, and organisations that send at constant mean rates. */
final class QueuedServer {
    private static final int SLOTS = 4;
    private static final double SERVICE_SECONDS = 0.02;
    private static final Duration BUDGET = Duration.ofSeconds(1);

    /** Requests per second that the slots can serve. */
    static final double CAPACITY = SLOTS / SERVICE_SECONDS;

    private final FairQueue<Integer> queue;
    private final Random random;
    private final int[] weights;
    private final PriorityQueue<Running> running = new PriorityQueue<>((a, b) -> a.end.compareTo(b.end));
    private Instant now = Instant.ofEpochSecond(1_000);
    private long nextId;

    final int[] inTime;
    int late;
    int refused;

    QueuedServer(int capacity, int[] weights, Random random) {
        this.queue = new FairQueue<>(capacity, random);
        this.random = random;
        this.weights = weights;
        this.inTime = new int[weights.length];
    }

    /** Runs for {@code seconds}; {@code rates} are the requests per second of each organisation. */
    void run(int seconds, double[] rates) {
        for (int tick = 0; tick < seconds * 1_000; tick++) {
            now = now.plusMillis(1);
            end();
            refused += queue.expire(now).size();
            for (int o = 0; o < rates.length; o++) {
                if (random.nextDouble() < rates[o] / 1e3) {
                    send(o);
                }
            }
            start();
        }
    }

    int totalInTime() {
        return Arrays.stream(inTime).sum();
    }

    private void send(int organisation) {
        QueuedRequest<Integer> request = new QueuedRequest<>(
                nextId++,
                new OrganisationId("o" + organisation),
                weights[organisation],
                random.nextInt(3),
                1,
                now.plus(BUDGET),
                Duration.ofMillis(20),
                organisation);
        queue.offer(request, now).peek(evicted -> refused += evicted.size()).peekLeft(p -> refused++);
    }

    private void start() {
        while (running.size() < SLOTS) {
            QueuedRequest<Integer> request = queue.poll(now).orElse(null);
            if (request == null) {
                return;
            }
            running.add(
                    new Running(request, now.plusMillis((long) (SERVICE_SECONDS * 1e3 * (0.5 + random.nextDouble())))));
        }
    }

    private void end() {
        while (!running.isEmpty() && !running.peek().end.isAfter(now)) {
            Running r = running.poll();
            if (r.end.isAfter(r.request.deadline())) {
                late++;
            } else {
                inTime[r.request.work()]++;
            }
        }
    }

    private record Running(QueuedRequest<Integer> request, Instant end) {}
}
