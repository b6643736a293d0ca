package org.cornelramp.systemtests;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.cornelramp.bench.fleet.Fleet;
import org.cornelramp.bench.fleet.FleetPlan;
import org.cornelramp.bench.fleet.JsonHttp;
import org.cornelramp.bench.fleet.Member;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * An agent is paused during a booking for longer than every timeout, and resumes.
 *
 * <p>Guards against a second run of the booking. The links of the agent are detected as silent, but the key stays bound
 * to it, so no other agent runs the booking. The resumed agent still treats itself as the owner of the key, which is
 * safe: only it may run the key, once. A caller that retries with the key gets the response from the agent's record.
 */
public class AgentPausedTest {
    private Fleet fleet;

    @BeforeClass
    public void start() {
        fleet = Fleet.start(
                FleetActions.checkoutRoot(),
                FleetPlan.small().withStages(List.of()).withServices(1, 300));
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        if (fleet != null) {
            fleet.close();
        }
    }

    @Test
    public void theBookingTakesEffectOnceAndIsAnsweredAfterTheAgentResumes() {
        Member agent = fleet.services().get(0);
        Member entry = fleet.entries().get(0);
        String key = FleetActions.mintKey(fleet, entry, 0);
        CompletableFuture<JsonHttp.Answer> booking = FleetActions.bookAsync(fleet, entry, key, "{\"n\":1}");
        FleetActions.pause(100);
        agent.daemon().suspend();
        FleetActions.pause(4_000);
        agent.daemon().resume();

        JsonHttp.Answer first = booking.join();
        Fleet.await(
                "a response from the agent's record",
                FleetActions.AWAIT_TIMEOUT,
                () -> FleetActions.book(fleet, entry, 0, key, "{\"n\":1}").status() == 200);
        assertEquals(FleetActions.effectCount(fleet, key), 1, "first response " + first);
    }
}
