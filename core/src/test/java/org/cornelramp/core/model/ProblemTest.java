package org.cornelramp.core.model;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.time.Duration;
import org.testng.annotations.Test;

/** A problem never has the outcome ANSWERED, and its kinds are a closed set. */
public class ProblemTest {

    @Test
    public void refusesTheOutcomeAnswered() {
        assertThrows(
                IllegalArgumentException.class,
                () -> new Problem(ProblemKind.OVERLOADED, Outcome.ANSWERED, "full", Duration.ZERO));
    }

    @Test
    public void everyKindParsesBackFromItsText() {
        for (ProblemKind kind : ProblemKind.values()) {
            assertEquals(ProblemKind.parse(kind.text()), kind);
        }
    }

    @Test
    public void refusesAnUnknownKind() {
        assertThrows(IllegalArgumentException.class, () -> ProblemKind.parse("lost-somehow"));
    }
}
