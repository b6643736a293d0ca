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
 * A caller sends a path of which no URL can be made, and the client throws in place of failing. The caller is told
 * that its call did not run, and the slot is free for the next: as many such calls as slots would otherwise stop the
 * agent for good.
 */
public class ThrowingClientTest {

    @Test
    public void aCallThatCannotBeMadeIsAnsweredAndFreesItsSlot() {
        AgentHarness harness = new AgentHarness(BackendKind.SERVICE);
        harness.pause(Duration.ofSeconds(1));
        harness.tick();
        FakeLink entry = harness.entry("entry-1");
        for (int i = 1; i <= harness.service.slots; i++) {
            harness.receive(entry, withoutPath(i));
            assertEquals(entry.last(InvokeResult.class).call(), i);
            assertEquals(entry.last(InvokeResult.class).outcome(), Outcome.NOT_RUN);
        }
        harness.receive(entry, InvokeTest.booking(9, "key", harness.life));
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
