package org.cornelramp.bench.load;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/**
 * Sending stalls, so that each request takes far longer to send than the interval between two requests. The due times
 * must stay those of the seed: if they moved with the stall, the load would drop while callers wait.
 */
public class OpenLoopTest {

    @Test
    public void slowSendingDoesNotMoveTheDueTimes() {
        List<Long> prompt = dueTimes(0);
        assertEquals(dueTimes(3), prompt);
        assertTrue(prompt.size() > 10);
    }

    private static List<Long> dueTimes(int stallMillis) {
        List<Long> times = new ArrayList<>();
        long start = System.nanoTime();
        new OpenLoop(5).run(1_000, start, 0.05, due -> {
            times.add(due - start);
            stall(stallMillis);
        });
        return times;
    }

    private static void stall(int millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
