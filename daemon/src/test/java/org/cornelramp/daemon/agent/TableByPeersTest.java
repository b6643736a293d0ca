package org.cornelramp.daemon.agent;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cornelramp.core.model.AgentLoad;
import org.cornelramp.core.model.AgentState;
import org.cornelramp.core.settings.BackendKind;
import org.cornelramp.wire.message.Heartbeat;
import org.cornelramp.wire.message.TableRequest;
import org.cornelramp.wire.message.TableUpdate;
import org.testng.annotations.Test;

/**
 * The log is down. An agent hears in a heartbeat that an entry applies a newer table and pulls it; a fresh entry asks
 * the agent and gets it, and one that asks for something newer gets no answer.
 */
public class TableByPeersTest {

    @Test
    public void theNewestTablePassesFromEntryToAgentToEntry() {
        AgentHarness harness = new AgentHarness(BackendKind.SERVICE);
        FakeLink old = harness.entry("entry-1");
        harness.receive(old, beat(12));
        assertEquals(old.last(TableRequest.class).above(), 0);
        harness.receive(old, new TableUpdate(12, new byte[] {4, 2}));
        harness.tick();
        harness.pause(Duration.ofMillis(TestAgent.HEARTBEAT_MILLIS));
        harness.tick();
        assertEquals(harness.agent.heartbeat().tableOffset(), 12);

        FakeLink fresh = harness.entry("entry-2");
        harness.receive(fresh, new TableRequest(0));
        assertEquals(fresh.last(TableUpdate.class).offset(), 12);
        assertEquals(fresh.last(TableUpdate.class).snapshot(), new byte[] {4, 2});
        int sent = fresh.sent.size();
        harness.receive(fresh, new TableRequest(12));
        assertEquals(fresh.sent.size(), sent);

        harness.receive(old, new TableUpdate(11, new byte[] {1}));
        assertEquals(harness.tables.current().offset(), 12, "an older table is not taken");
    }

    private static Heartbeat beat(long tableOffset) {
        return new Heartbeat(
                AgentState.ACTIVE,
                AgentLoad.IDLE,
                Optional.empty(),
                tableOffset,
                0,
                List.of(),
                List.of(),
                Map.of(),
                Map.of());
    }
}
