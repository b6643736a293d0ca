package org.cornelramp.gateway.follow;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** How long the store's answer is awaited. */
public class AnswerTimeoutTest {
    private final AnswerTimeout timeout = new AnswerTimeout(400, 900);

    /** Guards against a slow store that is never read, because each of its answers comes after the timeout. */
    @Test
    public void slowStoreGetsMoreTime() {
        timeout.recordTimeout();
        assertEquals(timeout.millis(), 800);
        timeout.recordTimeout();
        assertEquals(timeout.millis(), 900);
        timeout.recordAnswer(600);
        assertEquals(timeout.millis(), 900);
    }

    /** Guards against connections that are noticed late as stopped, long after the store was slow. */
    @Test
    public void fastAnswerEndsTheExtraTime() {
        timeout.recordTimeout();
        timeout.recordAnswer(3);
        assertEquals(timeout.millis(), 400);
    }
}
