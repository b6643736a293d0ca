package org.cornelramp.core.path;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.cornelramp.core.model.BackendServerId;
import org.testng.annotations.Test;

/** Streams whose answer counts as lost before their first event, which usually arrives 50 ms after sending. */
public class LostAnswerDetectorTest {
    private static final BackendServerId ENGINE = new BackendServerId("e1");

    /**
     * A stream is sent to one engine every 100 ms, and the answer of one of them is lost. Guards against a client that
     * disconnects after 2,000 ms: the loss is detected after 700 ms if two later streams have begun.
     */
    @Test
    public void anAnswerIsLostIfLaterStreamsHaveBegun() {
        LostAnswerDetector detector = new LostAnswerDetector();
        for (long sent = 1_100; sent <= 1_600; sent += 100) {
            detector.recordBegun(ENGINE, sent, sent + 50);
        }
        assertFalse(detector.isAnswerLost(ENGINE, 1_000, 1_699), "too early");
        assertTrue(detector.isAnswerLost(ENGINE, 1_000, 1_700));
        assertFalse(detector.isAnswerLost(new BackendServerId("e2"), 1_000, 1_700), "another engine's streams");
    }

    /**
     * After a restart of all gateways seventy streams are sent to one engine within a second, and each begins 1,300 ms
     * after it was sent, in order. Guards against retries of these streams, which would add load to the engine.
     */
    @Test
    public void aSlowEngineLosesNoAnswer() {
        LostAnswerDetector detector = new LostAnswerDetector();
        for (long now = 0; now < 3_000; now++) {
            for (long sent = 0; sent < 1_000; sent += 14) {
                if (now == sent + 1_300) {
                    detector.recordBegun(ENGINE, sent, now);
                }
                boolean waits = now >= sent && now < sent + 1_300;
                assertFalse(waits && detector.isAnswerLost(ENGINE, sent, now), "sent at " + sent + " now " + now);
            }
        }
    }

    /** A single stream that begins earlier may have a higher priority; neither it nor streams sent long ago show a loss. */
    @Test
    public void oneLaterStreamIsNotEnough() {
        LostAnswerDetector detector = new LostAnswerDetector();
        detector.recordBegun(ENGINE, 1_300, 1_350);
        assertFalse(detector.isAnswerLost(ENGINE, 1_000, 2_000));
        detector.recordBegun(ENGINE, 1_150, 1_400);
        assertFalse(detector.isAnswerLost(ENGINE, 1_000, 2_000), "sent at nearly the same time");
        detector.recordBegun(ENGINE, 4_000, 4_050);
        assertFalse(detector.isAnswerLost(ENGINE, 1_000, 4_050), "the first one is forgotten");
    }
}
