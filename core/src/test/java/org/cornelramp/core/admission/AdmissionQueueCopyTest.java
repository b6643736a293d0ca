package org.cornelramp.core.admission;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.cornelramp.core.model.OrganisationId;
import org.testng.annotations.Test;

/** Copies of a queue, by which operators learn what it would decide. Load: 2,000 random steps, 3 ranks, 5 organisations. */
public class AdmissionQueueCopyTest {
    private static final int STEPS = 2_000;
    private static final int CAPACITY = 16;

    /** One random step; returns all that it shows of the queue. */
    private static String step(AdmissionQueue<String> queue, long seed, long id, long now) {
        SplittableRandom random = new SplittableRandom(seed);
        int priority = random.nextInt(3);
        WaitingRequest<String> request = new WaitingRequest<>(
                id,
                priority,
                Optional.of(new OrganisationId("o" + random.nextInt(5))),
                1 + random.nextInt(9),
                now,
                now + 200 + random.nextInt(300),
                now + 600 + random.nextInt(900),
                "");
        List<Object> seen = new ArrayList<>();
        switch (random.nextInt(6)) {
            case 0 -> queue.recordAdmittedAtOnce(request, now);
            case 1 -> queue.inOrder(now).stream().findFirst().ifPresent(first -> queue.recordAdmitted(first, now));
            case 2 -> seen.add(queue.expire(now));
            case 3 ->
                queue.inOrder(now).stream().findFirst().ifPresent(first -> {
                    WaitingRequest<String> changed = new WaitingRequest<>(
                            first.id(),
                            priority,
                            first.organisation(),
                            first.cost(),
                            first.arrivalMillis(),
                            request.targetMillis(),
                            request.patienceMillis(),
                            "");
                    seen.add(queue.replace(changed, now));
                });
            default -> {
                queue.setFirstEventMillis(100 + random.nextInt(100));
                seen.add(queue.offer(request, now));
            }
        }
        seen.add(queue.inOrder(now));
        seen.add(queue.standing(request, now));
        seen.add(queue.isOnTimeWaiting(priority, now));
        seen.add(queue.expectedWaitMillis(priority, now));
        return seen.toString();
    }

    /** Guards against a copy that decides unlike its original, and against a copy whose use changes the original. */
    @Test
    public void copyDecidesAlikeAndChangesNothing() {
        for (long seed = 0; seed < 20; seed++) {
            AdmissionQueue<String> queue = new AdmissionQueue<>(CAPACITY);
            AdmissionQueue<String> uncopied = new AdmissionQueue<>(CAPACITY);
            long now = 1_000;
            for (int i = 0; i < STEPS / 20; i++) {
                now += 17 * (seed % 5 + 1);
                long at = seed * STEPS + i;
                AdmissionQueue<String> copy = queue.copy();
                String ofCopy = step(copy, at, i, now);
                step(copy, at + 7, STEPS + i, now + 900);
                assertEquals(step(queue, at, i, now), ofCopy);
                assertEquals(step(uncopied, at, i, now), ofCopy);
            }
        }
    }
}
