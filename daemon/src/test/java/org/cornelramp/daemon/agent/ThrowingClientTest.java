package org.cornelramp.daemon.agent;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.Optional;
import org.cornelramp.core.model.OrganisationId;
import org.cornelramp.core.model.Outcome;
import org.cornelramp.core.settings.BackendKind;
import org.cornelramp.wire.message.Invoke;
import org.cornelramp.wire.message.InvokeResult;
import org.testng.annotations.Test;

/**
 * Guards against leaked slots when a path is no valid URL and the client throws instead of returning a failed future.
 * The call is answered as not run and its slot is freed; otherwise as many such calls as there are slots would block
 * the agent permanently.
 */
public class ThrowingClientTest {

    @Test
    public void aCallThatCannotBeMadeIsAnsweredAndFreesItsSlot() {
        AgentHarness harness = new AgentHarness(BackendKind.SERVICE);
        harness.advanceClock(Duration.ofSeconds(1));
        harness.tick();
        FakeLink entry = harness.entry("entry-1");
        for (int i = 1; i <= harness.service.slots; i++) {
            harness.receive(entry, withoutPath(i));
            assertEquals(entry.last(InvokeResult.class).call(), i);
            assertEquals(entry.last(InvokeResult.class).outcome(), Outcome.NOT_RUN);
        }
        harness.receive(entry, InvokeTest.booking(9, "key", harness.incarnation));
        assertEquals(entry.last(InvokeResult.class).outcome(), Outcome.ANSWERED);
    }

    private static Invoke withoutPath(long call) {
        return new Invoke(
                call,
                "request",
                new OrganisationId("ward"),
                true,
                Optional.empty(),
                Optional.empty(),
                0,
                30_000,
                "GET",
                "",
                "",
                new byte[0],
                "fingerprint");
    }
}
