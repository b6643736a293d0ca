package org.cornelramp.daemon.agent;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.cornelramp.core.model.AgentState;
import org.cornelramp.core.model.OrganisationId;
import org.cornelramp.core.model.Outcome;
import org.cornelramp.core.model.ProblemKind;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.core.settings.BackendKind;
import org.cornelramp.wire.message.InvokeResult;
import org.cornelramp.wire.message.OpenStage;
import org.cornelramp.wire.message.SendFrom;
import org.cornelramp.wire.message.Settle;
import org.cornelramp.wire.message.Step;
import org.cornelramp.wire.message.Token;
import org.testng.annotations.Test;

/**
 * Guards against outdated work after the agent's process was paused for ten minutes, longer than any timeout. Entries
 * have closed its links and moved its sessions. The agent relies on no lease: a call that had not started is past its
 * deadline and never starts, a call that ran is answered from the ledger, and a session that was continued elsewhere
 * under a new epoch is dropped.
 */
public class PausedAgentTest {
    private static final Duration PAUSE = Duration.ofMinutes(10);

    @Test
    public void aBookingThatHadNotStartedNeverStarts() {
        AgentHarness harness = new AgentHarness(BackendKind.SERVICE);
        harness.service.slots = 1;
        harness.service.answersImmediately = false;
        harness.advanceClock(Duration.ofSeconds(1));
        harness.tick();
        FakeLink before = harness.entry("entry-1");
        harness.receive(before, InvokeTest.booking(1, "a", harness.incarnation));
        harness.receive(before, InvokeTest.booking(2, "bb", harness.incarnation));
        assertEquals(harness.service.calls.size(), 1);

        harness.advanceClock(PAUSE);
        before.close("the entry closed the link");
        harness.service.replies.get(0).complete(FakeService.reply("booked"));
        harness.processEvents();
        FakeLink after = harness.entry("entry-1");
        harness.receive(after, new Settle(3, "a", harness.incarnation, true));
        assertEquals(after.last(InvokeResult.class).outcome(), Outcome.ANSWERED);
        harness.receive(after, new Settle(4, "bb", harness.incarnation, true));
        assertEquals(after.last(InvokeResult.class).outcome(), Outcome.NOT_RUN);

        harness.receive(after, InvokeTest.booking(5, "bb", harness.incarnation));
        assertEquals(after.last(InvokeResult.class).kind(), Optional.of(ProblemKind.KEY_SPENT));
        harness.tick();
        assertEquals(harness.service.calls.size(), 1);
    }

    /** After the key window the ledger may have removed the key; its age alone then prevents a second run. */
    @Test
    public void aBookingOlderThanTheWindowNeverRunsAgain() {
        AgentHarness harness = new AgentHarness(BackendKind.SERVICE);
        harness.advanceClock(Duration.ofSeconds(1));
        harness.tick();
        FakeLink before = harness.entry("entry-1");
        harness.receive(before, InvokeTest.booking(1, "a", harness.incarnation));
        harness.advanceClock(Duration.ofHours(2));
        harness.tick();
        FakeLink after = harness.entry("entry-1");
        harness.receive(after, InvokeTest.booking(2, "a", harness.incarnation));
        assertEquals(after.last(InvokeResult.class).kind(), Optional.of(ProblemKind.KEY_EXPIRED));
        assertEquals(harness.service.calls.size(), 1);
    }

    @Test
    public void aSessionContinuedElsewhereIsDropped() {
        AgentHarness harness = new AgentHarness(BackendKind.ENGINE);
        FakeLink before = harness.entry("entry-1");
        harness.receive(before, open(harness));
        harness.receive(before, new SendFrom(7, 1, 1));
        harness.receive(before, new Step(7, 1, 0, new long[] {3, 4}));
        assertEquals(before.last(Token.class).epoch(), 1);
        int ran = harness.engine.trace().size();

        harness.advanceClock(PAUSE);
        before.close("the entry closed the link");
        harness.tick();
        FakeLink after = harness.entry("entry-1");
        harness.receive(after, new Step(7, 1, 2, new long[] {9}));
        assertEquals(harness.engine.trace().size(), ran);
        assertEquals(after.sent, List.of());
    }

    @Test
    public void aPauseOfTheAgentDoesNotMarkTheBackendServerDown() {
        AgentHarness harness = new AgentHarness(BackendKind.ENGINE);
        FakeLink entry = harness.entry("entry-1");
        harness.receive(entry, open(harness));
        harness.advanceClock(Duration.ofSeconds(3));
        harness.tick();
        assertEquals(harness.agent.heartbeat().state(), AgentState.ACTIVE);
        harness.receive(entry, new Step(7, 1, 0, new long[] {3, 4}));
        assertEquals(harness.engine.trace().size(), 2);
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
                5_000,
                "fingerprint",
                Optional.empty());
    }
}
