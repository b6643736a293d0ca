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
 * One process of each role is stopped as planned (SIGTERM) under load, and a new one takes its place.
 *
 * <p>It takes no new work, finishes or hands over what it has, and ends with status 0. No caller is cut off, told
 * "unknown" or given a part of an answer; a caller may be refused honestly and go to another entry.
 */
public class PlannedStopTest {
    private Fleet fleet;

    @BeforeClass
    public void start() {
        fleet = Fleet.start(Processes.home(), FleetPlan.small());
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        if (fleet != null) {
            fleet.close();
        }
    }

    @Test
    public void aStageIsReplacedWithoutACutStream() {
        assertCutsNothing(fleet.stages().get(1));
    }

    @Test
    public void aServicesAgentIsReplacedWithoutALostBooking() {
        assertCutsNothing(fleet.services().get(0));
    }

    @Test
    public void anEntryIsReplacedWithoutACutStream() {
        assertCutsNothing(fleet.entries().get(0));
    }

    private void assertCutsNothing(Member member) {
        try (Load load = Load.start(fleet)) {
            load.awaitAnswered(20);
            member.daemon().terminate();
            load.awaitAnswered(20);
            assertTrue(member.daemon().awaitEnd(Processes.LIMIT), member.name() + " did not end");
            assertEquals(member.daemon().exitCode(), 0, member.daemon().text());
            member.daemon().start();
            load.awaitAnswered(20);
            List<Sample> samples = load.finish();
            assertEquals(Load.lost(samples).toString(), "[]");
            long refused =
                    samples.stream().filter(s -> s.end() == CallEnd.NOT_RUN).count();
            assertTrue(refused * 4 < samples.size(), refused + " of " + samples.size() + " were refused");
        }
    }
}
