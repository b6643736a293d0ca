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
 * Guards against outdated tables while the log is down. An agent learns from a heartbeat that an entry has a newer
 * table and requests it. A newly started entry requests the table from the agent; a request for a newer one gets no
 * answer.
 */
public class TableByPeersTest {

    @Test
    public void newestTablePropagatesFromEntryToAgentToEntry() {
        AgentHarness harness = new AgentHarness(BackendKind.SERVICE);
        FakeLink old = harness.entry("entry-1");
        harness.receive(old, heartbeat(12));
        assertEquals(old.last(TableRequest.class).above(), 0);
        harness.receive(old, new TableUpdate(12, new byte[] {4, 2}));
        harness.tick();
        harness.advanceClock(Duration.ofMillis(TestAgent.HEARTBEAT_MILLIS));
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
        assertEquals(harness.tables.current().offset(), 12, "an older table is not applied");
    }

    private static Heartbeat heartbeat(long tableOffset) {
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
