package org.cornelramp.gateway.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Optional;
import org.testng.annotations.Test;

/** When an attempt may be aborted. */
public class AttemptSequenceTest {
    /**
     * Guards against an abort within a read of another thread. The HTTP library then releases the buffer that is read
     * into; it was seen as "IllegalArgumentException: newPosition > limit" in that thread.
     */
    @Test
    public void abortWaitsForTheEndOfAllReads() {
        AttemptSequence sequence = new AttemptSequence();
        sequence.beginRead();
        sequence.beginRead();
        assertFalse(sequence.mayAbort("deadline"));
        assertFalse(sequence.mayAbort("client gone"));
        assertTrue(sequence.endRead().isEmpty());
        assertEquals(sequence.takeDeferredAbort(), Optional.empty());
        assertTrue(sequence.endRead().isEmpty());
        assertEquals(sequence.takeDeferredAbort(), Optional.of("deadline"));
        assertEquals(sequence.takeDeferredAbort(), Optional.empty(), "it is due once");
        assertTrue(sequence.mayAbort("deadline"));
    }
}
