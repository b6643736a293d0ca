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
        assertFalse(questions.isOwnFault(server(0), 1_000));
        assertFalse(questions.isOwnFault(server(1), 1_010));
        for (int i = 2; i < 20; i++) {
            assertTrue(questions.isOwnFault(server(i), 1_010 + i));
        }
        assertFalse(questions.isOwnFault(server(7), 1_400));
    }

    /** Engines that die one after the other are each believed at once. */
    @Test
    public void singleDeathsAreBelieved() {
        UnansweredQuestions questions = new UnansweredQuestions();
        for (int i = 0; i < 10; i++) {
            assertFalse(questions.isOwnFault(server(i), 1_000 + i * UnansweredQuestions.SPAN_MILLIS));
        }
    }
}
