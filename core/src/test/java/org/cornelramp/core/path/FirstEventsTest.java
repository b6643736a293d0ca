package org.cornelramp.core.path;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.cornelramp.core.model.BackendServerId;
import org.testng.annotations.Test;

/** Which streams are sent again before their first event. Times as on the deployments of today: it comes after 50 ms. */
public class FirstEventsTest {
    private static final BackendServerId ENGINE = new BackendServerId("e1");

    /**
     * Load of an ordinary evening: a stream each 100 ms on one engine, and the answer of one of them is lost. The client
     * would leave after 2,000 ms; the stream is given up as soon as two later ones have begun and 700 ms have passed.
     */
    @Test
    public void aStreamThatLaterOnesHaveOvertakenIsLost() {
        LostAnswerDetector events = new LostAnswerDetector();
        for (long sent = 1_100; sent <= 1_600; sent += 100) {
            events.recordBegun(ENGINE, sent, sent + 50);
        }
        assertFalse(events.isAnswerLost(ENGINE, 1_000, 1_699), "too early");
        assertTrue(events.isAnswerLost(ENGINE, 1_000, 1_700));
        assertFalse(events.isAnswerLost(new BackendServerId("e2"), 1_000, 1_700), "another engine's streams");
    }

    /**
     * Load after a restart of all gateways: seventy streams are sent to one engine within a second, and each begins 1,300 ms
     * after it was sent, in their order. None of them may be sent again, or the engine has still more to read.
     */
    @Test
    public void aFullEngineLosesNothing() {
        LostAnswerDetector events = new LostAnswerDetector();
        for (long now = 0; now < 3_000; now++) {
            for (long sent = 0; sent < 1_000; sent += 14) {
                if (now == sent + 1_300) {
                    events.recordBegun(ENGINE, sent, now);
                }
                boolean waits = now >= sent && now < sent + 1_300;
                assertFalse(waits && events.isAnswerLost(ENGINE, sent, now), "sent at " + sent + " now " + now);
            }
        }
    }

    /** One stream with a higher priority overtakes another; that alone shows no loss, nor do streams sent long ago. */
    @Test
    public void oneWitnessIsNotEnough() {
        LostAnswerDetector events = new LostAnswerDetector();
        events.recordBegun(ENGINE, 1_300, 1_350);
        assertFalse(events.isAnswerLost(ENGINE, 1_000, 2_000));
        events.recordBegun(ENGINE, 1_150, 1_400);
        assertFalse(events.isAnswerLost(ENGINE, 1_000, 2_000), "sent at nearly the same time");
        events.recordBegun(ENGINE, 4_000, 4_050);
        assertFalse(events.isAnswerLost(ENGINE, 1_000, 4_050), "the first one is forgotten");
    }
}
