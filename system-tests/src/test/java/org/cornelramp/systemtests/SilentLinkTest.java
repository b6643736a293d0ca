package org.cornelramp.systemtests;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.cornelramp.bench.fleet.Fleet;
import org.cornelramp.bench.fleet.FleetPlan;
import org.cornelramp.bench.load.Sample;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * Under load, every open link to every agent stops delivering data permanently, while new connections work.
 *
 * <p>TCP reports no error. Both ends detect missing heartbeats and close the links; the entries reconnect and query the
 * agents about requests in flight. Since no process died, no caller may get "unknown" or lose its connection.
 */
public class SilentLinkTest {
    private Fleet fleet;

    @BeforeClass
    public void start() {
        fleet = Fleet.start(FleetActions.checkoutRoot(), FleetPlan.small().withRelays());
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        if (fleet != null) {
            fleet.close();
        }
    }

    @Test
    public void requestsInFlightAreRecoveredAfterReconnecting() {
        try (LoadGenerator load = LoadGenerator.start(fleet)) {
            load.awaitAnswered(30);
            fleet.members().forEach(m -> m.relay().ifPresent(relay -> relay.silence()));
            load.awaitAnswered(60);
            List<Sample> samples = load.finish();
            assertEquals(LoadGenerator.failed(samples).toString(), "[]");
            assertTrue(samples.size() > 90, "requests " + samples.size());
        }
    }
}
