package org.cornelramp.daemon.agent;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.cornelramp.core.model.AgentState;
import org.cornelramp.core.model.OrganisationId;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.core.settings.BackendKind;
import org.cornelramp.wire.message.OpenStage;
import org.cornelramp.wire.message.StageLost;
import org.cornelramp.wire.message.Step;
import org.testng.annotations.Test;

/**
 * The connection that carries a batch of steps goes silent for good, while new connections to the engine work. The
 * caller's stream would stand still until its deadline. The agent gives the batch up after a bounded time and tells
 * the entry, which goes on elsewhere; a late answer changes nothing.
 */
public class SilentEngineTest {

    @Test
    public void aBatchThatIsNeverAnsweredIsGivenUp() {
        AgentHarness harness = new AgentHarness(BackendKind.ENGINE);
        FakeLink entry = harness.entry("entry-1");
        harness.receive(entry, open(harness));
        harness.engine.setSilent(true);
        harness.receive(entry, new Step(7, 1, 0, new long[] {3, 4}));

        long millis = 0;
        while (entry.sent.stream().noneMatch(StageLost.class::isInstance)) {
            harness.pause(Duration.ofMillis(50));
            harness.tick();
            millis += 50;
        }
        assertEquals(entry.last(StageLost.class).stage(), 0);
        assertEquals(harness.agent.heartbeat().state(), AgentState.ACTIVE);
        assertEquals(millis <= 4 * TestAgent.TIMING.backendTimeoutMillis() + 50, true, "given up after " + millis);

        int sent = entry.sent.size();
        harness.engine.answerLate();
        harness.run();
        assertEquals(entry.sent.size(), sent);
    }

    private static OpenStage open(AgentHarness harness) {
        return new OpenStage(
                7,
                1,
                "request",
                new OrganisationId("ward"),
                new ServiceName("model"),
                0,
                List.of("127.0.0.1:1"),
                List.of(harness.life),
                2,
                3,
                0,
                60_000,
                "fingerprint",
                Optional.empty());
    }
}
