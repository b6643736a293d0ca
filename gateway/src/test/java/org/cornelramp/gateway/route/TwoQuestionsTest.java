package org.cornelramp.gateway.route;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cornelramp.platform.EngineReport;
import org.cornelramp.platform.StoreFault;
import org.testng.annotations.Test;

/** What two overlapping questions to one engine tell. */
public class TwoQuestionsTest {
    private static final Either<StoreFault, EngineReport> SILENCE =
            Either.left(new StoreFault(StoreFault.Kind.NO_ANSWER, "no answer in 60 ms"));

    private static final Either<StoreFault, EngineReport> REFUSED =
            Either.left(new StoreFault(StoreFault.Kind.NOT_LISTENING, "Connection refused"));

    private final List<Either<StoreFault, EngineReport>> told = new ArrayList<>();

    private static Either<StoreFault, EngineReport> report() {
        return Either.right(new EngineReport(Optional.empty(), false, 0, 1, 0, 0, 0, Optional.empty(), List.of()));
    }

    /**
     * A link loses the answer to the first question. The engine answers the second one, so it lives: taken for dead after
     * one silence, it would cost each of its streams a new start.
     */
    @Test
    public void oneAnswerIsEnoughToLive() {
        told.clear();
        TwoQuestions both = new TwoQuestions(told::add);
        both.ended(SILENCE);
        assertEquals(told, List.of());
        both.ended(report());
        both.ended(SILENCE);
        assertEquals(told.size(), 1);
        assertTrue(told.get(0).isRight());
    }

    /** A dead engine answers neither question, and that is told once. */
    @Test
    public void silenceIsToldWhenBothHaveFailed() {
        told.clear();
        TwoQuestions both = new TwoQuestions(told::add);
        assertFalse(both.isSettledWithin(1));
        both.ended(SILENCE);
        both.ended(SILENCE);
        assertEquals(told, List.of(SILENCE));
    }

    /** Guards against streams that wait for the second question although the first was refused: nothing listens there. */
    @Test
    public void aRefusedConnectionIsToldAtOnce() {
        told.clear();
        TwoQuestions both = new TwoQuestions(told::add);
        both.ended(REFUSED);
        assertEquals(told, List.of(REFUSED));
        assertTrue(both.isSettledWithin(1));
        both.ended(SILENCE);
        assertEquals(told, List.of(REFUSED));
    }

    /** The second question is not asked when the first is answered. */
    @Test
    public void anAnswerEndsTheWaitForTheSecondQuestion() {
        told.clear();
        TwoQuestions both = new TwoQuestions(told::add);
        both.ended(report());
        assertTrue(both.isSettledWithin(60_000));
    }
}
