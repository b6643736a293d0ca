package org.cornelramp.daemon.agent;

import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.model.OrganisationId;
import org.cornelramp.core.model.Outcome;
import org.cornelramp.wire.link.Link;
import org.cornelramp.wire.message.Invoke;
import org.cornelramp.wire.message.InvokeResult;
import org.testng.annotations.Test;

/** A call under a key runs once, and a repeat is answered from the agent's ledger. */
public class InvokeTest {

    @Test
    public void runsAKeyOnceAndRepeatsItsAnswer() throws Exception {
        try (TestAgent agent = TestAgent.service("app-1");
                TestEntry entry = new TestEntry("entry-1")) {
            Link link = entry.link(agent);
            link.send(booking(1, "key-1", agent.incarnation));
            InvokeResult first = entry.next(InvokeResult.class);
            link.send(booking(2, "key-1", agent.incarnation));
            InvokeResult second = entry.next(InvokeResult.class);

            assertEquals(first.outcome(), Outcome.ANSWERED);
            assertEquals(first.status(), 201);
            assertEquals(second.call(), 2);
            assertEquals(second.body(), first.body());
            assertEquals(agent.service.calls.size(), 1);
        }
    }

    static Invoke booking(long call, String key, Incarnation bound) {
        return new Invoke(
                call,
                "request",
                new OrganisationId("ward"),
                false,
                Optional.of(key),
                Optional.of(bound),
                0,
                30_000,
                "POST",
                "/bookings",
                "text/plain",
                "sofa".getBytes(StandardCharsets.UTF_8),
                "fingerprint");
    }
}
