package org.cornelramp.daemon.operator;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import org.cornelramp.core.model.Problem;
import org.cornelramp.core.model.ProblemKind;
import org.cornelramp.core.settings.OperatorSettings;
import org.testng.annotations.Test;

/** Only a key whose hash is in the settings gives access to the operators' interface; without settings no key does. */
public class OperatorAccessTest {
    /** SHA-256 of the key {@code secret1}. */
    private static final String HASH = "5b11618c2e44027877d0cd0921ed166b9f176f50587fc91e7534dd2946db77d6";

    private static Optional<ProblemKind> refusal(Optional<OperatorSettings> settings, String header) {
        return new OperatorAccess(settings).refusal(header).map(Problem::kind);
    }

    @Test
    public void listedKeyIsAccepted() {
        Optional<OperatorSettings> settings = Optional.of(new OperatorSettings(List.of("0".repeat(64), HASH)));
        assertTrue(refusal(settings, "Bearer secret1").isEmpty());
    }

    @Test
    public void otherCredentialsAreRefused() {
        Optional<OperatorSettings> settings = Optional.of(new OperatorSettings(List.of(HASH)));
        for (String header : new String[] {null, "", "secret1", "Bearer ", "Bearer secret2", "Bearer " + HASH}) {
            assertEquals(refusal(settings, header), Optional.of(ProblemKind.OPERATOR_UNAUTHORISED), header);
        }
    }

    @Test
    public void interfaceIsClosedWithoutSettings() {
        assertEquals(refusal(Optional.empty(), "Bearer secret1"), Optional.of(ProblemKind.OPERATORS_CLOSED));
    }
}
