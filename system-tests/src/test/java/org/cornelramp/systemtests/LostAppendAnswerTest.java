package org.cornelramp.systemtests;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import org.cornelramp.bench.fleet.Fleet;
import org.cornelramp.bench.fleet.FleetPlan;
import org.cornelramp.bench.fleet.JsonHttp;
import org.cornelramp.bench.fleet.Member;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * The log stores a record but its response is lost, so the process that appended it cannot tell whether it was stored.
 *
 * <p>Guards against assuming the result or appending the record again: the process must read the log back. A booking
 * under a key that the caller made takes effect once, and an edit is accepted once or its real result is reported.
 */
public class LostAppendAnswerTest {
    private Fleet fleet;

    @BeforeClass
    public void start() {
        fleet = Fleet.start(FleetActions.checkoutRoot(), FleetPlan.small().withStages(List.of()));
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        if (fleet != null) {
            fleet.close();
        }
    }

    @Test
    public void aBookingUnderACallersOwnKeyTakesEffectOnce() {
        for (int i = 0; i < 5; i++) {
            String key = FleetActions.callerMadeKey(i);
            fleet.setFaults(fleet.logUrl(), Map.of("lose-answers", "1"));
            JsonHttp.Answer first = FleetActions.book(fleet, fleet.entries().get(0), 0, key, "{\"n\":1}");
            fleet.setFaults(fleet.logUrl(), Map.of("lose-answers", ""));
            JsonHttp.Answer second = FleetActions.book(fleet, fleet.entries().get(1), 0, key, "{\"n\":1}");
            assertEquals(second.status(), 200, first + " then " + second);
            assertEquals(FleetActions.effectCount(fleet, key), 1, first + " then " + second);
        }
    }

    @Test
    public void anEditIsInForceOnceIfItWasAccepted() {
        Member entry = fleet.entries().get(0);
        long expectedVersion = TableEdits.row(fleet, entry).path("version").asLong();
        fleet.setFaults(fleet.logUrl(), Map.of("lose-answers", "1"));
        String kind = TableEdits.editWeight(fleet, entry, expectedVersion, 55);
        fleet.setFaults(fleet.logUrl(), Map.of("lose-answers", ""));
        assertTrue(kind.equals("accepted") || kind.equals("unknown"), kind);
        if (kind.equals("accepted")) {
            for (Member e : fleet.entries()) {
                Fleet.await(
                        "the accepted edit is visible",
                        FleetActions.AWAIT_TIMEOUT,
                        () -> TableEdits.weight(fleet, e) == 55);
            }
        }
        assertEquals(TableEdits.editWeight(fleet, entry, expectedVersion, 56), "rejected");
    }
}
