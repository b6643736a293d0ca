package org.cornelramp.core.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Random;
import org.cornelramp.core.model.OrganisationId;
import org.cornelramp.core.model.ProblemKind;
import org.testng.annotations.Test;

/** Requests are refused at once with the right problem, and one organisation cannot keep the others out. */
public class FairQueueTest {
    private static final Instant NOW = Instant.ofEpochSecond(1_000);

    @Test
    public void aFullQueueMakesRoomForAnOrganisationThatHoldsLess() {
        FairQueue<String> queue = new FairQueue<>(10, new Random(1));
        for (int id = 0; id < 10; id++) {
            assertTrue(queue.offer(request(id, "large", Duration.ofSeconds(9)), NOW)
                    .isRight());
        }
        List<Refusal<String>> evicted =
                queue.offer(request(10, "small", Duration.ofSeconds(9)), NOW).get();
        assertEquals(evicted.size(), 1);
        assertEquals(evicted.get(0).queuedRequest().organisation().value(), "large");
        assertEquals(evicted.get(0).problem().kind(), ProblemKind.OVERLOADED);
        assertFalse(evicted.get(0).problem().retryAfter().isZero());
        assertTrue(queue.offer(request(11, "large", Duration.ofSeconds(9)), NOW).isLeft());
    }

    @Test
    public void aRequestThatCannotMeetItsDeadlineIsRefusedAtOnce() {
        FairQueue<String> queue = new FairQueue<>(10, new Random(1));
        assertEquals(
                queue.offer(request(1, "o", Duration.ofMillis(10)), NOW)
                        .getLeft()
                        .kind(),
                ProblemKind.DEADLINE_UNREACHABLE);
        assertEquals(
                queue.offer(request(2, "o", Duration.ofMillis(-1)), NOW)
                        .getLeft()
                        .kind(),
                ProblemKind.DEADLINE_PASSED);
    }

    @Test
    public void aRequestThatWouldWaitTooLongIsRefused() {
        FairQueue<String> queue = new FairQueue<>(1_000, new Random(1));
        for (int id = 0; id < 200; id++) {
            queue.offer(request(id, "o", Duration.ofSeconds(60)), NOW);
        }
        Instant now = NOW;
        for (int i = 0; i < 100; i++) {
            now = now.plusMillis(10);
            queue.poll(now);
        }
        assertEquals(Math.round(queue.drainPerSecond(now) / 10), 10, "about 100 a second");
        assertEquals(
                queue.offer(request(900, "o", 5, Duration.ofMillis(1_500)), now)
                        .getLeft()
                        .kind(),
                ProblemKind.OVERLOADED);
        assertTrue(queue.offer(request(901, "o", 5, Duration.ofSeconds(4)), now).isRight());
        assertTrue(queue.offer(request(902, "other", 5, Duration.ofMillis(1_500)), now)
                .isRight());
    }

    @Test
    public void anIdleOrganisationAccumulatesNoCredit() {
        FairQueue<String> queue = new FairQueue<>(1_000, new Random(1));
        for (int id = 0; id < 100; id++) {
            queue.offer(request(id, "busy", Duration.ofSeconds(60)), NOW);
        }
        for (int i = 0; i < 50; i++) {
            queue.poll(NOW);
        }
        for (int id = 100; id < 150; id++) {
            queue.offer(request(id, "late", Duration.ofSeconds(60)), NOW);
        }
        int late = 0;
        for (int i = 0; i < 20; i++) {
            late += queue.poll(NOW).orElseThrow().organisation().value().equals("late") ? 1 : 0;
        }
        assertEquals(late, 10);
    }

    private static QueuedRequest<String> request(long id, String organisation, Duration budget) {
        return request(id, organisation, 0, budget);
    }

    private static QueuedRequest<String> request(long id, String organisation, int priority, Duration budget) {
        OrganisationId o = new OrganisationId(organisation);
        return new QueuedRequest<>(id, o, 1, priority, 1, NOW.plus(budget), Duration.ofMillis(20), "work");
    }
}
