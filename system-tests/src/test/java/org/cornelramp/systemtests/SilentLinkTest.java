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
 * Every open link to every agent goes silent for good in the midst of load, while new connections work.
 *
 * <p>TCP sees nothing. Both ends miss heartbeats and give the links up, the entries connect anew and ask the agents
 * about what was under way. Since no process died, no caller is told "unknown" and none is cut off.
 */
public class SilentLinkTest {
    private Fleet fleet;

    @BeforeClass
    public void start() {
        fleet = Fleet.start(Processes.home(), FleetPlan.small().withRelays());
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        if (fleet != null) {
            fleet.close();
        }
    }

    @Test
    public void whatWasUnderWayIsSettledByAsking() {
        try (Load load = Load.start(fleet)) {
            load.awaitAnswered(30);
            fleet.members().forEach(m -> m.relay().ifPresent(relay -> relay.silence()));
            load.awaitAnswered(60);
            List<Sample> samples = load.finish();
            assertEquals(Load.lost(samples).toString(), "[]");
            assertTrue(samples.size() > 90, "requests " + samples.size());
        }
    }
}
