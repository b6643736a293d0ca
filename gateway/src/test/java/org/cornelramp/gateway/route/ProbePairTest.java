package org.cornelramp.gateway.route;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cornelramp.platform.EngineReport;
import org.cornelramp.platform.PlatformFault;
import org.testng.annotations.Test;

/** The result of two overlapping calls to one engine. */
public class ProbePairTest {
    private static final Either<PlatformFault, EngineReport> NO_ANSWER =
            Either.left(new PlatformFault(PlatformFault.Kind.NO_ANSWER, "no answer in 60 ms"));

    private static final Either<PlatformFault, EngineReport> REFUSED =
            Either.left(new PlatformFault(PlatformFault.Kind.NOT_LISTENING, "Connection refused"));

    private final List<Either<PlatformFault, EngineReport>> results = new ArrayList<>();

    private static Either<PlatformFault, EngineReport> report() {
        return Either.right(new EngineReport(Optional.empty(), false, 0, 1, 0, 0, 0, Optional.empty(), List.of()));
    }

    /**
     * Guards against a restart of all streams of a living engine because a link lost the answer to the first call. The
     * engine answers the second call, so it is alive.
     */
    @Test
    public void oneAnswerIsSufficient() {
        results.clear();
        ProbePair probe = new ProbePair(results::add);
        probe.handleCallEnd(NO_ANSWER);
        assertEquals(results, List.of());
        probe.handleCallEnd(report());
        probe.handleCallEnd(NO_ANSWER);
        assertEquals(results.size(), 1);
        assertTrue(results.get(0).isRight());
    }

    /** A dead engine answers neither call, and one failure is reported. */
    @Test
    public void failureIsReportedOnceAfterBothCallsFailed() {
        results.clear();
        ProbePair probe = new ProbePair(results::add);
        assertFalse(probe.awaitResult(1));
        probe.handleCallEnd(NO_ANSWER);
        probe.handleCallEnd(NO_ANSWER);
        assertEquals(results, List.of(NO_ANSWER));
    }

    /**
     * Guards against streams that wait for the second call although the first was refused, which shows that nothing
     * listens.
     */
    @Test
    public void refusedConnectionIsReportedAtOnce() {
        results.clear();
        ProbePair probe = new ProbePair(results::add);
        probe.handleCallEnd(REFUSED);
        assertEquals(results, List.of(REFUSED));
        assertTrue(probe.awaitResult(1));
        probe.handleCallEnd(NO_ANSWER);
        assertEquals(results, List.of(REFUSED));
    }

    /** The second call is not made if the first is answered. */
    @Test
    public void answerEndsWaitForSecondCall() {
        results.clear();
        ProbePair probe = new ProbePair(results::add);
        probe.handleCallEnd(report());
        assertTrue(probe.awaitResult(60_000));
    }
}
