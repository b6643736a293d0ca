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
 * A booking is under way at the service when its agent dies, and the caller sends it again.
 *
 * <p>The caller sees "unknown" once the agent's new life shows, for the one process that knew has gone; sent again with its key, at either entry and
 * after the agent is back, it is still not run a second time. The service goes on with the call that it had, so the
 * effect comes once, late.
 */
public class AgentKilledInCallTest {
    private Fleet fleet;

    @BeforeClass
    public void start() {
        fleet = Fleet.start(
                Processes.home(), FleetPlan.small().withStages(List.of()).withServices(1, 1_500));
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
        String key = Processes.mintKey(fleet, entry, 0);
        CompletableFuture<JsonHttp.Answer> booking = Processes.bookLater(fleet, entry, key, "{\"n\":1}");
        Processes.pause(500);
        agent.daemon().kill();

        agent.daemon().start();
        assertEquals(Processes.outcome(fleet, booking.join()), "unknown");
        for (Member other : fleet.entries()) {
            JsonHttp.Answer again = Processes.book(fleet, other, 0, key, "{\"n\":1}");
            assertEquals(Processes.outcome(fleet, again), "unknown", again.body());
        }
        Fleet.await("the late effect", Processes.LIMIT, () -> Processes.effects(fleet, key) >= 1);
        Processes.pause(2_000);
        assertEquals(Processes.effects(fleet, key), 1);
    }
}
