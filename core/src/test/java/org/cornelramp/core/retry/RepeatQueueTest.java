package org.cornelramp.core.retry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;

/** Who gets the next repeat, and who waits no longer. */
public class RepeatQueueTest {
    private static RetryQueue.WaitState begun(long deadline) {
        return new RetryQueue.WaitState(true, deadline, 0);
    }

    private static RetryQueue.WaitState fresh(long deadline, long until) {
        return new RetryQueue.WaitState(false, deadline, until);
    }

    /**
     * An engine that carried forty streams resets all its connections, and its gateway has no repeat left. Readers of begun
     * streams, which nobody else can carry on, go first; then those whose deadline is nearest.
     */
    @Test
    public void begunStreamsGoFirstThenByDeadline() {
        RetryQueue<String> queue = new RetryQueue<>();
        queue.add("fresh late", fresh(9_000, 400));
        queue.add("begun late", begun(8_000));
        queue.add("fresh soon", fresh(700, 400));
        queue.add("begun soon", begun(5_000));
        assertEquals(queue.inOrder(), List.of("begun soon", "begun late", "fresh soon", "fresh late"));
    }

    /** What has not begun is told so when its time to wait is over; its client can come again itself. */
    @Test
    public void aFreshRequestWaitsNoLongerThanItsTime() {
        RetryQueue<String> queue = new RetryQueue<>();
        queue.add("fresh", fresh(9_000, 400));
        queue.add("begun", begun(9_000));
        assertEquals(queue.removeOverdue(399), List.of());
        queue.add("fresh", fresh(9_000, 800)); // another failure gives it no more time
        assertEquals(queue.removeOverdue(400), List.of("fresh"));
        assertEquals(queue.removeOverdue(60_000), List.of());
        assertTrue(queue.contains("begun"));
    }

    /** The queue is bounded: whoever finds it full is refused at once. Begun streams always find a place. */
    @Test
    public void aFullQueueTakesNoFreshRequest() {
        RetryQueue<Integer> queue = new RetryQueue<>();
        for (int i = 0; i < RetryQueue.MOST_FRESH; i++) {
            assertTrue(queue.add(i, fresh(9_000, 400)));
        }
        assertFalse(queue.add(-1, fresh(9_000, 400)));
        assertTrue(queue.add(-2, begun(9_000)));
        assertTrue(queue.remove(7).isPresent());
        assertTrue(queue.add(-1, fresh(9_000, 400)));
        assertFalse(queue.remove(7).isPresent());
    }
}
