package org.cornelramp.core.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.cornelramp.core.model.OrganisationId;

/** No request is lost or kept after it was dropped, and an overloaded server is shared by weight. */
class FairQueueProperties {
    private static final int[] WEIGHTS = {1, 2, 5};

    @Property(seed = "9101", tries = 200)
    void everyRequestLeavesExactlyOnce(@ForAll long seed, @ForAll @IntRange(min = 1, max = 40) int capacity) {
        Random random = new Random(seed);
        FairQueue<Integer> queue = new FairQueue<>(capacity, random);
        Set<Long> held = new HashSet<>();
        Instant now = Instant.ofEpochSecond(1_000);
        for (long id = 0; id < 300; id++) {
            now = now.plusMillis(random.nextInt(30));
            Instant late = now;
            queue.expire(now).forEach(r -> {
                assertTrue(held.remove(r.queuedRequest().id()));
                assertTrue(r.queuedRequest().latestStart().isBefore(late));
            });
            QueuedRequest<Integer> queuedRequest = request(id, random, now);
            queue.offer(queuedRequest, now).peek(evicted -> {
                held.add(queuedRequest.id());
                evicted.forEach(r -> assertTrue(held.remove(r.queuedRequest().id())));
            });
            if (random.nextInt(3) == 0) {
                queue.poll(now).ifPresent(p -> assertTrue(held.remove(p.id())));
            }
            long any = random.nextInt((int) id + 1);
            if (random.nextInt(10) == 0) {
                assertEquals(queue.cancel(any, now).isPresent(), held.remove(any));
            }
            assertTrue(queue.size() <= capacity);
            assertEquals(queue.size(), held.size());
        }
        Set<Long> rest = new HashSet<>();
        queue.drainAll(now).forEach(queuedRequest -> rest.add(queuedRequest.id()));
        assertEquals(rest, held);
        assertEquals(queue.cost(), 0.0);
    }

    @Property(seed = "9102", tries = 20)
    void backloggedOrganisationsAreServedByWeight(@ForAll long seed) {
        Random random = new Random(seed);
        FairQueue<Integer> queue = new FairQueue<>(10_000, random);
        Instant now = Instant.ofEpochSecond(1_000);
        double[] served = new double[WEIGHTS.length];
        for (int id = 0; id < 3_000; id++) {
            int o = id % WEIGHTS.length;
            queue.offer(request(id, o, 1 + random.nextInt(20), random.nextInt(10), now.plusSeconds(60)), now);
        }
        double total = 0;
        for (int i = 0; i < 1_200; i++) {
            QueuedRequest<Integer> queuedRequest = queue.poll(now).orElseThrow();
            served[queuedRequest.work()] += queuedRequest.cost();
            total += queuedRequest.cost();
        }
        for (int o = 0; o < WEIGHTS.length; o++) {
            double part = served[o] / total;
            assertTrue(Math.abs(part - WEIGHTS[o] / 8.0) < 0.01, "organisation " + o + " got " + part);
        }
    }

    @Property(seed = "9103", tries = 10)
    void anOverloadOfThreeTimesTheCapacityKeepsGoodputAndShares(
            @ForAll long seed, @ForAll @IntRange(min = 50, max = 400) int capacity) {
        QueuedServer server = new QueuedServer(capacity, WEIGHTS, new Random(seed));
        server.run(20, new double[] {QueuedServer.CAPACITY, QueuedServer.CAPACITY, QueuedServer.CAPACITY});
        double ratio = server.totalInTime() / (QueuedServer.CAPACITY * 20);
        assertTrue(ratio > 0.95, "goodput " + ratio + " of the capacity, late " + server.late);
        for (int o = 0; o < WEIGHTS.length; o++) {
            double part = server.inTime[o] / (double) server.totalInTime();
            assertTrue(Math.abs(part - WEIGHTS[o] / 8.0) < 0.05, "organisation " + o + " got " + part);
        }
    }

    @Property(seed = "9104", tries = 50)
    void withinAnOrganisationTheLowerNumberGoesFirst(@ForAll long seed) {
        Random random = new Random(seed);
        FairQueue<Integer> queue = new FairQueue<>(100, random);
        Instant now = Instant.ofEpochSecond(1_000);
        for (int id = 0; id < 50; id++) {
            queue.offer(request(id, 0, 1, random.nextInt(10), now.plusSeconds(9)), now);
        }
        int before = 0;
        for (Optional<QueuedRequest<Integer>> queuedRequest = queue.poll(now);
                queuedRequest.isPresent();
                queuedRequest = queue.poll(now)) {
            assertTrue(queuedRequest.get().priority() >= before);
            before = queuedRequest.get().priority();
        }
    }

    private static QueuedRequest<Integer> request(long id, Random random, Instant now) {
        int o = random.nextInt(WEIGHTS.length);
        return request(id, o, 1 + random.nextInt(5), random.nextInt(10), now.plusMillis(50 + random.nextInt(2_000)));
    }

    private static QueuedRequest<Integer> request(long id, int o, double cost, int priority, Instant deadline) {
        OrganisationId organisation = new OrganisationId("o" + o);
        return new QueuedRequest<>(id, organisation, WEIGHTS[o], priority, cost, deadline, Duration.ofMillis(20), o);
    }
}
