package org.cornelramp.core.poison;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Set;
import org.cornelramp.core.model.BackendServerId;
import org.testng.annotations.Test;

/** Broken connections, and what becomes of their servers. */
public class CrashEvidenceTest {
    private static final BackendServerId SERVER = new BackendServerId("s1");
    private static final BackendServerId OTHER = new BackendServerId("s2");

    /** Time between the sending of a request and the break of its connection. */
    private static final long RUN_MILLIS = 50;

    private final CrashEvidence evidence = new CrashEvidence();

    /** Guards against lost answers and cut connections that count as crashes. */
    @Test
    public void breakAloneIsNoCrash() {
        CrashEvidence lost = new CrashEvidence();
        assertTrue(lost.recordBreak(SERVER, "f", Set.of(), true, 100 - RUN_MILLIS, 100)
                .isEmpty());
        assertEquals(lost.undecidedCrashes("f", 500, 200), 1);
        assertEquals(
                lost.recordSignOfLife(SERVER, 200, 200),
                new CrashEvidence.TakenBack(1, false),
                "it was not thought to have ended");
        assertEquals(lost.undecidedServers(), Set.of());
        assertTrue(lost.recordEnd(SERVER, true, 300).isEmpty(), "the connection broke before the sign of life");
    }

    /** Guards against requests that are missing in a crash because their connections broke before or after it was seen. */
    @Test
    public void breaksBeforeAndAfterTheEndBelongToTheCrash() {
        CrashEvidence crashed = new CrashEvidence();
        crashed.recordBreak(SERVER, "f", Set.of(), true, 100 - RUN_MILLIS, 100);
        crashed.recordBreak(OTHER, "h", Set.of(), true, 100 - RUN_MILLIS, 100);
        CrashEvidence.Crash crash = crashed.recordEnd(SERVER, true, 110).orElseThrow();
        assertEquals(crash.report().suspects(), Set.of("f"));
        assertEquals(crash.report().at().toEpochMilli(), 100);
        CrashEvidence.Crash more = crashed.recordBreak(SERVER, "g", Set.of(), true, 120 - RUN_MILLIS, 120)
                .orElseThrow();
        assertEquals(more.report().crashId(), crash.report().crashId());
        assertEquals(more.report().suspects(), Set.of("g"));
        assertEquals(crashed.undecidedServers(), Set.of(OTHER));
    }

    /** Guards against requests that are blamed for the crash of a server to which they were sent afterwards. */
    @Test
    public void requestThatIsSentAfterTheEndIsNoSuspect() {
        CrashEvidence crashed = new CrashEvidence();
        crashed.recordBreak(SERVER, "f", Set.of(), true, 50, 100);
        crashed.recordEnd(SERVER, false, 110);
        assertTrue(crashed.recordBreak(SERVER, "g", Set.of(), true, 111, 120).isEmpty());
        assertEquals(crashed.undecidedServers(), Set.of());
        assertTrue(crashed.recordBreak(SERVER, "h", Set.of(), true, 110, 130).isPresent(), "it was under way");
    }

    /** Guards against streams that are blamed for the first crash that they meet in the middle of their run. */
    @Test
    public void runThatHadMadeProgressIsNoSuspectAtFirst() {
        CrashEvidence crashed = new CrashEvidence();
        crashed.recordBreak(SERVER, "f", Set.of(), false, 100 - RUN_MILLIS, 100);
        assertEquals(crashed.recordEnd(SERVER, true, 110).orElseThrow().report().suspects(), Set.of());
        crashed.recordBreak(OTHER, "f", Set.of(), false, 2_000 - RUN_MILLIS, 2_000);
        assertEquals(
                crashed.recordEnd(OTHER, true, 2_010).orElseThrow().report().suspects(), Set.of("f"));
    }

    /** Guards against a server that is seen to live again, and whose later breaks would count as crashes at once. */
    @Test
    public void signOfLifeTakesAnInferredEndBack() {
        CrashEvidence taken = new CrashEvidence();
        taken.recordBreak(SERVER, "f", Set.of(), true, 100 - RUN_MILLIS, 100);
        assertTrue(taken.recordEnd(SERVER, false, 110).isPresent());
        assertTrue(taken.recordSignOfLife(SERVER, 150, 150).crash());
        assertTrue(taken.recordBreak(SERVER, "f", Set.of(), true, 200 - RUN_MILLIS, 200)
                .isEmpty());
    }

    /** Guards against a crash that is taken back by an answer of before it which is handled late. */
    @Test
    public void lateAnswerDoesNotTakeACertainEndBack() {
        CrashEvidence crashed = new CrashEvidence();
        crashed.recordBreak(SERVER, "f", Set.of(), true, 100 - RUN_MILLIS, 100);
        assertTrue(crashed.recordEnd(SERVER, true, 110).isPresent());
        assertEquals(crashed.recordSignOfLife(SERVER, 130, 130), CrashEvidence.TakenBack.NOTHING);
        assertTrue(
                crashed.recordBreak(SERVER, "g", Set.of(), true, 140 - RUN_MILLIS, 140)
                        .isPresent(),
                "it belongs to the crash");
    }

    /** Guards against a crash that is missed because the server had answered another request just before it. */
    @Test
    public void answerThatMayPrecedeABreakDoesNotTakeItBack() {
        CrashEvidence crashed = new CrashEvidence();
        crashed.recordBreak(SERVER, "f", Set.of(), true, 50, 100);
        assertEquals(crashed.recordSignOfLife(SERVER, 60, 105), CrashEvidence.TakenBack.NOTHING);
        assertEquals(crashed.recordEnd(SERVER, true, 110).orElseThrow().report().suspects(), Set.of("f"));
    }

    /** Guards against a server that lives, and is held to have ended because all its requests were sent before a break. */
    @Test
    public void answerLongAfterABreakTakesItBack() {
        CrashEvidence lost = new CrashEvidence();
        lost.recordBreak(SERVER, "f", Set.of(), true, 50, 100);
        lost.recordEnd(SERVER, false, 300);
        assertTrue(lost.recordSignOfLife(SERVER, 60, 801).crash());
        assertEquals(lost.undecidedServers(), Set.of());
    }

    /** Guards against a server that starts again under its id, and whose later breaks would count as crashes at once. */
    @Test
    public void serverThatStartsAgainUnderItsIdHasCrashedAllTheSame() {
        CrashEvidence crashed = new CrashEvidence();
        crashed.recordBreak(SERVER, "f", Set.of(), true, 100 - RUN_MILLIS, 100);
        assertTrue(crashed.recordEnd(SERVER, true, 110).isPresent());
        assertFalse(crashed.recordSignOfLife(SERVER, 1_500, 1_500).crash(), "the crash stands");
        assertTrue(
                crashed.recordBreak(SERVER, "f", Set.of(), true, 2_000 - RUN_MILLIS, 2_000)
                        .isEmpty(),
                "this break needs evidence of its own");
    }

    /** Guards against a break that waits for the end of its server for ever. */
    @Test
    public void breakIsForgotten() {
        evidence.recordBreak(SERVER, "f", Set.of(), true, 100 - RUN_MILLIS, 100);
        evidence.expire(100 + CrashEvidence.UNDECIDED_MILLIS);
        assertEquals(evidence.undecidedServers(), Set.of(SERVER));
        evidence.expire(101 + CrashEvidence.UNDECIDED_MILLIS);
        assertEquals(evidence.undecidedServers(), Set.of());
    }
}
