package org.cornelramp.systemtests;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.cornelramp.bench.fleet.Fleet;
import org.cornelramp.bench.fleet.FleetPlan;
import org.cornelramp.bench.fleet.Member;
import org.cornelramp.bench.load.CallEnd;
import org.cornelramp.bench.load.Sample;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * One process of each role is stopped with SIGTERM under load and replaced by a new one.
 *
 * <p>The stopping process accepts no new work, finishes or hands over its current work, and exits with status 0. No
 * caller loses its connection, gets "unknown" or a partial response; a caller may be refused as not run and use another
 * entry.
 */
public class PlannedStopTest {
    private Fleet fleet;

    @BeforeClass
    public void start() {
        fleet = Fleet.start(FleetActions.checkoutRoot(), FleetPlan.small());
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        if (fleet != null) {
            fleet.close();
        }
    }

    @Test
    public void aStageIsReplacedWithoutACutStream() {
        assertReplacedWithoutLoss(fleet.stages().get(1));
    }

    @Test
    public void aServicesAgentIsReplacedWithoutALostBooking() {
        assertReplacedWithoutLoss(fleet.services().get(0));
    }

    @Test
    public void anEntryIsReplacedWithoutACutStream() {
        assertReplacedWithoutLoss(fleet.entries().get(0));
    }

    private void assertReplacedWithoutLoss(Member member) {
        try (LoadGenerator load = LoadGenerator.start(fleet)) {
            load.awaitAnswered(20);
            member.daemon().terminate();
            load.awaitAnswered(20);
            assertTrue(member.daemon().awaitEnd(FleetActions.AWAIT_TIMEOUT), member.name() + " did not end");
            assertEquals(member.daemon().exitCode(), 0, member.daemon().readOutput());
            member.daemon().start();
            load.awaitAnswered(20);
            List<Sample> samples = load.finish();
            assertEquals(LoadGenerator.failed(samples).toString(), "[]");
            long refused =
                    samples.stream().filter(s -> s.end() == CallEnd.NOT_RUN).count();
            assertTrue(refused * 4 < samples.size(), refused + " of " + samples.size() + " were refused");
        }
    }
}
