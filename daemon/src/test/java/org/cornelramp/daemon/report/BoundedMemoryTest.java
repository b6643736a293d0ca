package org.cornelramp.daemon.report;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import org.testng.annotations.Test;

/** The memory for decisions is bounded: only the newest requests are held, and their steps and facts are truncated. */
public class BoundedMemoryTest {
    private static final Instant NOW = Instant.ofEpochSecond(1);

    @Test
    public void oldestRequestIsEvictedFirst() {
        RequestDecisionLog decisionLog = new RequestDecisionLog();
        for (int i = 0; i <= RequestDecisionLog.MAX_REQUESTS; i++) {
            decisionLog.decided("r" + i, NOW, "chosen", "agent=a");
        }
        assertTrue(decisionLog.steps("r0").isEmpty());
        assertEquals(decisionLog.steps("r1").size(), 1);
        assertEquals(
                decisionLog.steps("r" + RequestDecisionLog.MAX_REQUESTS).get(0).facts(), "agent=a");
    }

    @Test
    public void stepsAndFactsAreBounded() {
        RequestDecisionLog decisionLog = new RequestDecisionLog();
        for (int i = 0; i < 2 * RequestDecisionLog.MAX_STEPS; i++) {
            decisionLog.decided("r", NOW, "retried", "x".repeat(10_000));
        }
        assertEquals(decisionLog.steps("r").size(), RequestDecisionLog.MAX_STEPS);
        assertEquals(decisionLog.steps("r").get(0).facts().length(), RequestDecisionLog.MAX_CHARS + 1);
    }
}
