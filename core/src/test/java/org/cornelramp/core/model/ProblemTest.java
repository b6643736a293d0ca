package org.cornelramp.core.model;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.time.Duration;
import org.testng.annotations.Test;

/** A problem is a final answer without a result, and its kinds are a closed set. */
public class ProblemTest {

    @Test
    public void refusesToPassForAnAnswer() {
        assertThrows(
                IllegalArgumentException.class,
                () -> new Problem(ProblemKind.OVERLOADED, Outcome.ANSWERED, "full", Duration.ZERO));
    }

    @Test
    public void everyKindReadsBackFromItsText() {
        for (ProblemKind kind : ProblemKind.values()) {
            assertEquals(ProblemKind.parse(kind.text()), kind);
        }
    }

    @Test
    public void refusesAKindItDoesNotKnow() {
        assertThrows(IllegalArgumentException.class, () -> ProblemKind.parse("lost-somehow"));
    }
}
