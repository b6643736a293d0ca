package org.cornelramp.core.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import org.cornelramp.core.model.OrganisationId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Order, bounds and refusals of the queue, the policy and the estimates. Load: a few requests, one failure each. */
public class AdmissionQueueTest {
    private AdmissionQueue<String> queue;

    @BeforeMethod
    public void start() {
        queue = new AdmissionQueue<>(4);
    }

    /** Guards against an order by arrival alone. */
    @Test
    public void priorityThenFairnessThenLatestStart() {
        queue.recordAdmitted(request(0, 0, "a", 500, 2_000), 0);
        offer(request(1, 1, "a", 500, 2_000));
        offer(request(2, 0, "a", 400, 2_000));
        offer(request(3, 0, "b", 600, 2_000));
        offer(request(4, 0, "b", 500, 2_000));
        assertEquals(order(0), List.of(4L, 2L, 3L, 1L), "the organisation that used less first, then in turn");
        assertEquals(order(450), List.of(4L, 3L, 1L, 2L), "late ones behind all that can be on time");
    }

    /** Guards against a full queue of less urgent requests that keeps urgent ones out. */
    @Test
    public void aFullQueueGivesThePlaceOfTheLeastUrgent() {
        for (int id = 0; id < 4; id++) {
            offer(request(id, 1, "a", 500 + id, 2_000));
        }
        assertEquals(queue.offer(request(8, 1, "a", 400, 2_000), 0).getLeft().reason(), RefusalReason.QUEUE_FULL);
        Evicted<String> evicted =
                queue.offer(request(9, 0, "a", 500, 2_000), 0).get().get(0);
        assertEquals(evicted.request().id(), 3);
        assertEquals(evicted.refusal().reason(), RefusalReason.DISPLACED);
        assertEquals(queue.size(), 4);
        assertEquals(queue.size(1), 3);
    }

    /** Guards against starvation by a queue that is always full of more urgent requests. */
    @Test
    public void aStarvedPriorityGetsOnePlaceAndGoesFirst() {
        for (int id = 0; id < 20; id++) {
            offer(request(id, 0, "a", 500, 2_000));
            if (id < 16) {
                queue.recordAdmitted(request(id, 0, "a", 500, 2_000), 0);
            }
        }
        assertTrue(queue.offer(request(30, 2, "a", 500, 2_000), 0).isLeft(), "one refused request is no starvation");
        assertTrue(queue.offer(request(31, 2, "a", 500, 2_000), 0).isLeft());
        offer(request(32, 2, "a", 500, 2_000));
        assertEquals(order(0).get(0), Long.valueOf(32));
        queue.offer(request(33, 0, "a", 500, 2_000), 0);
        assertTrue(queue.find(32).isPresent(), "its place is not taken again");
        assertTrue(queue.offer(request(34, 2, "a", 500, 2_000), 0).isLeft(), "only one at a time");
    }

    /** Guards against a request that is served by the priority and times that it had before a change. */
    @Test
    public void aChangedRequestTakesItsNewPlace() {
        offer(request(1, 1, "a", 500, 2_000));
        offer(request(2, 1, "a", 600, 2_000));
        assertTrue(queue.replace(request(2, 0, "a", 600, 400), 100));
        assertEquals(order(100), List.of(2L, 1L));
        assertEquals(queue.size(0), 1);
        assertEquals(queue.size(1), 1);
        assertEquals(queue.expire(450).get(0).request().id(), 2);
        assertFalse(queue.replace(request(2, 0, "a", 600, 900), 500), "it does not wait any more");
    }

    /** Guards against an organisation that gets more than others by sending through many gateways. */
    @Test
    public void useThroughOtherGatewaysCounts() {
        offer(request(1, 0, "a", 400, 2_000));
        offer(request(2, 0, "b", 500, 2_000));
        Optional<OrganisationId> a = Optional.of(new OrganisationId("a"));
        assertEquals(
                queue.inOrder(0, organisation -> organisation.equals(a) ? 5 : 0)
                        .get(0)
                        .id(),
                2);
    }

    /** Guards against a gateway that was suspended and then starts requests whose clients have left. */
    @Test
    public void aSuspendedGatewayRefusesWhatHasRunOutOfTime() {
        queue.setFirstEventMillis(300);
        offer(request(1, 0, "a", 500, 2_000));
        offer(request(2, 0, "a", 500, 9_000));
        List<Evicted<String>> expired = queue.expire(5_000);
        assertEquals(expired.size(), 1);
        assertEquals(expired.get(0).request().id(), 1);
        assertEquals(expired.get(0).refusal().retryAfterMillis(), 200);
        assertEquals(
                queue.offer(request(3, 0, "a", 500, 5_200), 5_000).getLeft().reason(), RefusalReason.OUT_OF_TIME);
    }

    /** Guards against requests that wait for nothing: 10 requests a second start, 100 wait. */
    @Test
    public void aWaitLongerThanTheClientsPatienceIsRefusedAtOnce() {
        AdmissionQueue<String> onTime = new AdmissionQueue<>(200);
        for (int id = 0; id < 120; id++) {
            onTime.offer(request(id, 0, "a", 60_000, 60_000), 0);
        }
        for (int id = 0; id < 20; id++) {
            onTime.recordAdmitted(request(id, 0, "a", 60_000, 60_000), 100L * (id + 1));
        }
        assertEquals(onTime.expectedWaitMillis(0, 2_000) / 1_000.0, 10, 1);
        AdmissionRefusal refusal =
                onTime.offer(request(200, 0, "a", 2_500, 5_000), 2_000).getLeft();
        assertEquals(refusal.reason(), RefusalReason.WAIT_TOO_LONG);
        assertEquals(refusal.retryAfterMillis(), 1_000, "a third of the time left");
        assertTrue(onTime.offer(request(201, 0, "a", 2_500, 20_000), 2_000).isRight());
    }

    /** Guards against a priority that is admitted and held back in turns, and passed by a less urgent one. */
    @Test
    public void aHeldBackPriorityReturnsBelowNineTenths() {
        AdmissionPolicy policy = new AdmissionPolicy();
        assertEquals(policy.judge(prospect(0, 301, 0)), Fit.NO_CAPACITY);
        assertEquals(policy.judge(prospect(0, 285, 0)), Fit.NO_CAPACITY);
        assertEquals(policy.judge(prospect(2, 285, 0)), Fit.NO_CAPACITY);
        assertEquals(policy.judge(prospect(0, 269, 0)), Fit.ON_TIME);
        assertEquals(policy.judge(prospect(0, 285, 0)), Fit.ON_TIME);
        assertEquals(policy.judge(prospect(2, 285, 0)), Fit.NO_CAPACITY);
        assertEquals(policy.judge(prospect(2, 271, 0)), Fit.NO_CAPACITY, "it was held back with the others");
        assertEquals(policy.judge(prospect(2, 269, 20)), Fit.ON_TIME);
        assertEquals(
                policy.judge(prospect(2, 276, 20)), Fit.NO_CAPACITY, "25 ms are kept for 10 arrivals and 4 deviations");
        assertEquals(policy.judge(prospect(2, 269, 40)), Fit.NO_CAPACITY, "42 ms are kept for 20 arrivals");
        assertFalse(policy.isHeldBack(0));
    }

    /** Guards against a factor without bounds after a stall, and one that outlasts its cause. */
    @Test
    public void aCalibrationIsBoundedAndFades() {
        CalibrationFactor factor = new CalibrationFactor();
        for (int i = 0; i < 200; i++) {
            factor.record(10, 100_000, 0);
        }
        assertEquals(factor.value(0), 20, 0.1);
        assertEquals(factor.value(10_000), 10.5, 0.1);
        factor.record(0, 100, 10_000);
        assertEquals(factor.value(60_000), 1, 0.4);
    }

    /** Guards against memory that grows with the organisations, and a client that gains by early retries. */
    @Test
    public void organisationsAreBoundedAndChargedForEarlyRetries() {
        ShareTracker shares = new ShareTracker();
        EarlyRetries retries = new EarlyRetries(2);
        Optional<OrganisationId> first = Optional.of(new OrganisationId("first"));
        retries.recordRefusal("7", 500, 0);
        assertTrue(retries.isEarly("7", 499));
        shares.recordEarlyRetry(first, 3, 499);
        assertEquals(shares.admittedCost(first, 499), 3.0);
        assertEquals(shares.admittedCost(first, 5_600), 0.0);
        shares.recordEarlyRetry(first, 3, 5_600);
        for (int i = 0; i < ShareTracker.MAX_ORGANISATIONS; i++) {
            shares.recordOffered(0, Optional.of(new OrganisationId("o" + i)), 1, 5_600);
        }
        assertEquals(shares.admittedCost(first, 5_600), 0.0);
    }

    private static Prospect prospect(int priority, double pause, double moreUrgent) {
        Prospect.Reserve reserve = new Prospect.Reserve(moreUrgent, 0, 500, 1, 1.1);
        return new Prospect(priority, pause, 300, 400, 500, 501, 2_000, reserve, Standing.FAIR, false);
    }

    private void offer(WaitingRequest<String> request) {
        assertTrue(queue.offer(request, 0).isRight());
    }

    private List<Long> order(long now) {
        return queue.inOrder(now).stream().map(WaitingRequest::id).toList();
    }

    private static WaitingRequest<String> request(long id, int priority, String organisation, long target, long left) {
        Optional<OrganisationId> owner = Optional.of(new OrganisationId(organisation));
        return new WaitingRequest<>(id, priority, owner, 1, 0, target, left, "work");
    }
}
