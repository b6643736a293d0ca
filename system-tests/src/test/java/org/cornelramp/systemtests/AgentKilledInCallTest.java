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
 * An agent is killed while the service runs a booking, and the caller retries the booking.
 *
 * <p>Guards against a second run: only the killed process knew the state of the call, so the caller gets "unknown" once
 * the agent's new incarnation is seen. Retries with the same key at either entry, after the agent has restarted, do
 * not run the booking again. The service finishes the call that it was running, so the effect occurs once, late.
 */
public class AgentKilledInCallTest {
    private Fleet fleet;

    @BeforeClass
    public void start() {
        fleet = Fleet.start(
                FleetActions.checkoutRoot(),
                FleetPlan.small().withStages(List.of()).withServices(1, 1_500));
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        if (fleet != null) {
            fleet.close();
        }
    }

    @Test
    public void theBookingIsUnknownAndNeverRunsTwice() {
        Member agent = fleet.services().get(0);
        Member entry = fleet.entries().get(0);
        String key = FleetActions.mintKey(fleet, entry, 0);
        CompletableFuture<JsonHttp.Answer> booking = FleetActions.bookAsync(fleet, entry, key, "{\"n\":1}");
        FleetActions.pause(500);
        agent.daemon().kill();

        agent.daemon().start();
        assertEquals(FleetActions.outcome(fleet, booking.join()), "unknown");
        for (Member other : fleet.entries()) {
            JsonHttp.Answer retry = FleetActions.book(fleet, other, 0, key, "{\"n\":1}");
            assertEquals(FleetActions.outcome(fleet, retry), "unknown", retry.body());
        }
        Fleet.await("the late effect", FleetActions.AWAIT_TIMEOUT, () -> FleetActions.effectCount(fleet, key) >= 1);
        FleetActions.pause(2_000);
        assertEquals(FleetActions.effectCount(fleet, key), 1);
    }
}
