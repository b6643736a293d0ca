package org.cornelramp.daemon.report;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import org.testng.annotations.Test;

/** However many requests there are, and however long their facts, only the newest are remembered, cut short. */
public class BoundedMemoryTest {
    private static final Instant NOW = Instant.ofEpochSecond(1);

    @Test
    public void theOldestRequestIsForgottenFirst() {
        RequestMemory memory = new RequestMemory();
        for (int i = 0; i <= RequestMemory.MAX_REQUESTS; i++) {
            memory.decided("r" + i, NOW, "chosen", "agent=a");
        }
        assertTrue(memory.steps("r0").isEmpty());
        assertEquals(memory.steps("r1").size(), 1);
        assertEquals(memory.steps("r" + RequestMemory.MAX_REQUESTS).get(0).facts(), "agent=a");
    }

    @Test
    public void stepsAndFactsAreBounded() {
        RequestMemory memory = new RequestMemory();
        for (int i = 0; i < 2 * RequestMemory.MAX_STEPS; i++) {
            memory.decided("r", NOW, "retried", "x".repeat(10_000));
        }
        assertEquals(memory.steps("r").size(), RequestMemory.MAX_STEPS);
        assertEquals(memory.steps("r").get(0).facts().length(), RequestMemory.MAX_CHARS + 1);
    }
}
