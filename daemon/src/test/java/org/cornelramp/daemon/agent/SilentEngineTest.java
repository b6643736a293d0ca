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
 * Guards against a stream that makes no progress until its deadline because the connection that carries a batch of
 * steps no longer delivers data, while new connections to the engine work. The agent abandons the batch after a
 * bounded time and reports the stage lost, so that the entry can rebuild it elsewhere; a late answer is ignored.
 */
public class SilentEngineTest {

    @Test
    public void anUnansweredBatchIsAbandonedAfterABoundedTime() {
        AgentHarness harness = new AgentHarness(BackendKind.ENGINE);
        FakeLink entry = harness.entry("entry-1");
        harness.receive(entry, open(harness));
        harness.engine.setSilent(true);
        harness.receive(entry, new Step(7, 1, 0, new long[] {3, 4}));

        long millis = 0;
        while (entry.sent.stream().noneMatch(StageLost.class::isInstance)) {
            harness.advanceClock(Duration.ofMillis(50));
            harness.tick();
            millis += 50;
        }
        assertEquals(entry.last(StageLost.class).stage(), 0);
        assertEquals(harness.agent.heartbeat().state(), AgentState.ACTIVE);
        assertEquals(millis <= 4 * TestAgent.TIMING.backendTimeoutMillis() + 50, true, "abandoned after " + millis);

        int sent = entry.sent.size();
        harness.engine.answerLate();
        harness.processEvents();
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
                List.of(harness.incarnation),
                2,
                3,
                0,
                60_000,
                "fingerprint",
                Optional.empty());
    }
}
