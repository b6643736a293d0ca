package org.cornelramp.daemon.agent;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cornelramp.core.model.AgentState;
import org.cornelramp.core.model.Outcome;
import org.cornelramp.core.model.ProblemKind;
import org.cornelramp.ports.LogRecord;
import org.cornelramp.ports.LogStream;
import org.cornelramp.wire.link.Link;
import org.cornelramp.wire.message.CloseStage;
import org.cornelramp.wire.message.InvokeResult;
import org.testng.annotations.Test;

/**
 * Guards against lost results when an agent is stopped while a call is running. The running call completes and is
 * answered; a new call is answered as not run. The result of each key is then written to the log, even after the log
 * was down, refused an append and lost answers, so that it can be read when the agent is gone.
 */
public class PlannedStopTest {

    @Test
    public void finishesItsWorkAndSettlesEachKeyOnTheLog() throws Exception {
        try (TestAgent agent = TestAgent.service("app-1");
                TestEntry entry = new TestEntry("entry-1")) {
            agent.service.answersImmediately = false;
            agent.log.setDown(true);
            Link link = entry.link(agent);
            link.send(InvokeTest.booking(1, "key-1", agent.incarnation));
            TestEntry.await(() -> agent.service.replies.size() == 1);

            agent.component.drain(Instant.now().plusSeconds(60));
            TestEntry.await(() -> entry.lastHeartbeat(agent).state() == AgentState.LEAVING);
            link.send(InvokeTest.booking(2, "key-2", agent.incarnation));
            InvokeResult refused = entry.next(InvokeResult.class);
            assertEquals(refused.kind(), Optional.of(ProblemKind.LEAVING));
            assertEquals(refused.outcome(), Outcome.NOT_RUN);
            assertFalse(agent.component.isDrained());

            agent.service.replies.get(0).complete(FakeService.reply("booked"));
            assertEquals(entry.next(InvokeResult.class).outcome(), Outcome.ANSWERED);
            agent.log.failNext(FakeLog.Fault.REFUSED);
            agent.log.failNext(FakeLog.Fault.LOST_BEFORE);
            agent.log.failNext(FakeLog.Fault.LOST_AFTER);
            agent.log.setDown(false);
            TestEntry.await(agent.component::isDrained);

            List<LogRecord> records = agent.log.records(LogStream.KEYS);
            assertEquals(records.size(), 1, "a lost answer is read back, not repeated");
            JsonNode record = records.get(0).value();
            assertEquals(record.path("incarnation").asText(), agent.incarnation.toString());
            assertEquals(record.path("results").size(), 1, "a key that never ran is not listed");
            assertEquals(record.path("results").get(0).path("key").asText(), "key-1");
            assertEquals(record.path("results").get(0).path("outcome").asText(), "answered");
        }
    }

    @Test
    public void waitsForRunningSessions() throws Exception {
        try (TestAgent a = TestAgent.engine("gpu-a", 0, 3, 6);
                TestAgent b = TestAgent.engine("gpu-b", 3, 6, 6);
                TestEntry entry = new TestEntry("entry-1")) {
            TestPipeline pipeline = new TestPipeline(entry, new long[] {4, 5}, 500);
            pipeline.start(List.of(a, b));
            pipeline.collect(1);
            a.component.drain(Instant.now().plusSeconds(60));
            pipeline.collect(500);
            assertEquals(pipeline.tokens(), TestPipeline.expectedTokens(new long[] {4, 5}, 500, 6));
            assertFalse(a.component.isDrained());
            entry.link(b).send(new CloseStage(pipeline.session(), pipeline.epoch()));
            closeAt(entry, a, pipeline);
            TestEntry.await(a.component::isDrained);
            assertEquals(a.log.records(LogStream.KEYS).size(), 1);
        }
    }

    private static void closeAt(TestEntry entry, TestAgent agent, TestPipeline pipeline) {
        List<Link> links = new ArrayList<>(entry.links());
        links.removeIf(link -> !link.peer().incarnation().equals(agent.incarnation));
        links.get(0).send(new CloseStage(pipeline.session(), pipeline.epoch()));
    }
}
