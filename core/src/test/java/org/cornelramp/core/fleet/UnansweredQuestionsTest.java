package org.cornelramp.core.fleet;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.cornelramp.core.model.BackendServerId;
import org.testng.annotations.Test;

/** Whether silent servers are dead, or this process hears nobody. */
public class UnansweredQuestionsTest {
    private static BackendServerId server(int number) {
        return new BackendServerId("i-" + number);
    }

    /**
     * The link of a small gateway was full for half a second (load of a release before 28 gateways). It asked twenty
     * engines and got no answer in time, took all for dead, and its streams were cut. Two are believed; the rest are
     * asked again, and whoever does not answer then either is dead after all.
     */
    @Test
    public void manySilentServersAtOnceAreAskedAgain() {
        UnansweredQuestions questions = new UnansweredQuestions();
        assertFalse(questions.isOwnFault(server(0), false, 1_000));
        assertFalse(questions.isOwnFault(server(1), false, 1_010));
        for (int i = 2; i < 20; i++) {
            assertTrue(questions.isOwnFault(server(i), false, 1_010 + i));
        }
        assertFalse(questions.isOwnFault(server(7), false, 1_400));
    }

    /** Engines that die one after the other are each believed at once. */
    @Test
    public void singleDeathsAreBelieved() {
        UnansweredQuestions questions = new UnansweredQuestions();
        for (int i = 0; i < 10; i++) {
            assertFalse(questions.isOwnFault(server(i), false, 1_000 + i * UnansweredQuestions.SPAN_MILLIS));
        }
    }

    /**
     * A gateway with a tenth of a core is busy for some hundred milliseconds on a calm day. Answers of living engines wait
     * unread until their time is over. It believes the silence of none of them, asks once more with more time, and gets the
     * answers; taken for dead, each of the engines would cost all its streams a move.
     */
    @Test
    public void aLateProcessTakesNoFirstSilenceForADeath() {
        UnansweredQuestions questions = new UnansweredQuestions();
        for (int i = 0; i < 27; i++) {
            assertTrue(questions.isOwnFault(server(i), true, 1_000 + i * UnansweredQuestions.SPAN_MILLIS));
        }
    }

    /** An engine dies while a gateway is late: a second silence shows it, or the word of a peer that has seen it fail. */
    @Test
    public void aLateProcessStillFindsDeaths() {
        UnansweredQuestions questions = new UnansweredQuestions();
        assertTrue(questions.isOwnFault(server(1), true, 1_000));
        assertFalse(questions.isOwnFault(server(1), true, 1_400));
        questions.seenElsewhere(server(2), 1_300);
        assertFalse(questions.isOwnFault(server(2), true, 1_450));
        assertTrue(questions.isOwnFault(server(2), true, 9_000), "what a peer saw long ago says nothing of now");
    }
}
