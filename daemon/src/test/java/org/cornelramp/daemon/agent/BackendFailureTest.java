package org.cornelramp.daemon.agent;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cornelramp.core.model.AgentState;
import org.cornelramp.core.model.Outcome;
import org.cornelramp.core.model.ProblemKind;
import org.cornelramp.core.poison.CrashReport;
import org.cornelramp.ports.PlatformException;
import org.cornelramp.wire.link.Link;
import org.cornelramp.wire.message.InvokeResult;
import org.cornelramp.wire.message.Settle;
import org.cornelramp.wire.message.StageLost;
import org.testng.annotations.Test;

/**
 * Guards against duplicate calls and stalled sessions after the agent's backend server crashes and restarts. A running
 * call ends with an unknown outcome and its key never runs again. A session has lost its KV cache and is reported lost,
 * so that it is rebuilt. The requests in progress are reported as possible causes of the crash.
 */
public class BackendFailureTest {

    @Test
    public void aBookingWhoseAnswerWasLostIsUnknownAndNeverRunsAgain() throws Exception {
        try (TestAgent agent = TestAgent.service("app-1");
                TestEntry entry = new TestEntry("entry-1")) {
            agent.service.answersImmediately = false;
            Link link = entry.link(agent);
            link.send(InvokeTest.booking(1, "key-1", agent.incarnation));
            TestEntry.await(() -> agent.service.replies.size() == 1);
            agent.service.replies.get(0).completeExceptionally(failure(PlatformException.Kind.ANSWER_LOST));
            agent.service.incarnation = "life-2";

            assertEquals(entry.next(InvokeResult.class).outcome(), Outcome.UNKNOWN);
            TestEntry.await(() -> entry.lastHeartbeat(agent).crashed().stream()
                    .anyMatch(text -> CrashReport.parse(text).suspects().equals(Set.of("fingerprint"))));
            link.send(InvokeTest.booking(2, "key-1", agent.incarnation));
            assertEquals(entry.next(InvokeResult.class).outcome(), Outcome.UNKNOWN);
            assertEquals(agent.service.calls.size(), 1);
        }
    }

    @Test
    public void aBookingThatWasNotSentNeverRunsUnderItsKey() throws Exception {
        try (TestAgent agent = TestAgent.service("app-1");
                TestEntry entry = new TestEntry("entry-1")) {
            agent.service.answersImmediately = false;
            Link link = entry.link(agent);
            link.send(InvokeTest.booking(1, "key-1", agent.incarnation));
            TestEntry.await(() -> agent.service.replies.size() == 1);
            agent.service.replies.get(0).completeExceptionally(failure(PlatformException.Kind.NOT_SENT));
            InvokeResult first = entry.next(InvokeResult.class);
            assertEquals(first.outcome(), Outcome.NOT_RUN);
            assertEquals(first.kind(), Optional.of(ProblemKind.BACKEND_FAILED));

            link.send(InvokeTest.booking(2, "key-1", agent.incarnation));
            InvokeResult second = entry.next(InvokeResult.class);
            assertEquals(second.kind(), Optional.of(ProblemKind.KEY_SPENT));
            assertEquals(agent.service.calls.size(), 1);
        }
    }

    @Test
    public void callsAtAServiceThatRestartedAreUnknown() throws Exception {
        try (TestAgent agent = TestAgent.service("app-1");
                TestEntry entry = new TestEntry("entry-1")) {
            agent.service.answersImmediately = false;
            Link link = entry.link(agent);
            link.send(InvokeTest.booking(1, "key-1", agent.incarnation));
            TestEntry.await(() -> agent.service.replies.size() == 1);
            agent.service.incarnation = "life-2";
            assertEquals(entry.next(InvokeResult.class).outcome(), Outcome.UNKNOWN);

            agent.service.replies.get(0).complete(FakeService.reply("late"));
            link.send(new Settle(2, "key-1", agent.incarnation, true));
            assertEquals(entry.next(InvokeResult.class, r -> r.call() == 2).outcome(), Outcome.UNKNOWN);
        }
    }

    @Test
    public void anEngineRestartDropsItsSessions() throws Exception {
        try (TestAgent a = TestAgent.engine("gpu-a", 0, 3, 6);
                TestAgent b = TestAgent.engine("gpu-b", 3, 6, 6);
                TestEntry entry = new TestEntry("entry-1")) {
            TestPipeline pipeline = new TestPipeline(entry, new long[] {4, 5}, 8_000);
            pipeline.start(List.of(a, b));
            pipeline.collect(3);
            b.engine.restart();
            StageLost lost = entry.next(StageLost.class);
            assertEquals(lost.stage(), 1);
            pipeline.start(List.of(a, b));
            pipeline.collect(400);
            assertEquals(pipeline.tokens().subList(0, 400), TestPipeline.expectedTokens(new long[] {4, 5}, 400, 6));
        }
    }

    @Test
    public void anEngineThatRefusesConnectionsTakesNoNewWork() throws Exception {
        try (TestAgent a = TestAgent.engine("gpu-a", 0, 6, 6);
                TestEntry entry = new TestEntry("entry-1")) {
            entry.link(a);
            a.engine.setDown(true);
            TestEntry.await(() -> entry.lastHeartbeat(a).state() == AgentState.BACKEND_DOWN);
            a.engine.setDown(false);
            TestEntry.await(() -> entry.lastHeartbeat(a).state() == AgentState.ACTIVE);
            assertTrue(entry.lastHeartbeat(a).crashed().isEmpty());
        }
    }

    private static PlatformException failure(PlatformException.Kind kind) {
        return new PlatformException(kind, "failure injected by the test", 0);
    }
}
