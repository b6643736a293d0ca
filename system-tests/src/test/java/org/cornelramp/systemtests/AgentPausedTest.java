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
 * An agent is paused with a booking under way, for longer than every timeout, and wakes.
 *
 * <p>Its links are found silent and its key stays bound to it, so nobody else runs the booking. When it wakes it still
 * believes that it is in charge, and that does no harm: it alone may run the key, once, and a caller that asks again
 * with the key gets the answer from its record.
 */
public class AgentPausedTest {
    private Fleet fleet;

    @BeforeClass
    public void start() {
        fleet = Fleet.start(
                Processes.home(), FleetPlan.small().withStages(List.of()).withServices(1, 300));
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        if (fleet != null) {
            fleet.close();
        }
    }

    @Test
    public void theBookingTakesEffectOnceAndIsAnsweredAfterItWakes() {
        Member agent = fleet.services().get(0);
        Member entry = fleet.entries().get(0);
        String key = Processes.mintKey(fleet, entry, 0);
        CompletableFuture<JsonHttp.Answer> booking = Processes.bookLater(fleet, entry, key, "{\"n\":1}");
        Processes.pause(100);
        agent.daemon().freeze();
        Processes.pause(4_000);
        agent.daemon().wake();

        JsonHttp.Answer first = booking.join();
        Fleet.await(
                "an answer from the agent's record",
                Processes.LIMIT,
                () -> Processes.book(fleet, entry, 0, key, "{\"n\":1}").status() == 200);
        assertEquals(Processes.effects(fleet, key), 1, "first answer " + first);
    }
}
