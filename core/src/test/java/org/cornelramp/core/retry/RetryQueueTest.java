package org.cornelramp.core.retry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;

/** Order, time limit and size limit of the queue of requests that wait for a retry. */
public class RetryQueueTest {
    private static RetryQueue.WaitState begun(long deadline) {
        return new RetryQueue.WaitState(true, deadline, 0);
    }

    private static RetryQueue.WaitState notBegun(long deadline, long waitUntil) {
        return new RetryQueue.WaitState(false, deadline, waitUntil);
    }

    /**
     * An engine with forty streams resets all its connections, and the gateway has no retry left. Guards against begun
     * streams that end for that: no other gateway can continue them, so they are retried first; then the streams with
     * the earliest deadline.
     */
    @Test
    public void begunStreamsComeFirstThenTheEarliestDeadline() {
        RetryQueue<String> queue = new RetryQueue<>();
        queue.add("fresh late", notBegun(9_000, 400));
        queue.add("begun late", begun(8_000));
        queue.add("fresh soon", notBegun(700, 400));
        queue.add("begun soon", begun(5_000));
        assertEquals(queue.inOrder(), List.of("begun soon", "begun late", "fresh soon", "fresh late"));
    }

    /** A request whose answer has not begun is refused when its waiting time is over; its client can send it again. */
    @Test
    public void aRequestThatHasNotBegunWaitsForALimitedTime() {
        RetryQueue<String> queue = new RetryQueue<>();
        queue.add("fresh", notBegun(9_000, 400));
        queue.add("begun", begun(9_000));
        assertEquals(queue.removeOverdue(399), List.of());
        queue.add("fresh", notBegun(9_000, 800)); // another failure does not extend the waiting time
        assertEquals(queue.removeOverdue(400), List.of("fresh"));
        assertEquals(queue.removeOverdue(60_000), List.of());
        assertTrue(queue.contains("begun"));
    }

    /** The queue is bounded: a full queue refuses requests at once, but always accepts begun streams. */
    @Test
    public void aFullQueueAcceptsOnlyBegunStreams() {
        RetryQueue<Integer> queue = new RetryQueue<>();
        for (int i = 0; i < RetryQueue.MAX_NOT_BEGUN; i++) {
            assertTrue(queue.add(i, notBegun(9_000, 400)));
        }
        assertFalse(queue.add(-1, notBegun(9_000, 400)));
        assertTrue(queue.add(-2, begun(9_000)));
        assertTrue(queue.remove(7).isPresent());
        assertTrue(queue.add(-1, notBegun(9_000, 400)));
        assertFalse(queue.remove(7).isPresent());
    }
}
