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
 * The log keeps a record and its answer is lost, so the one who appended it cannot tell whether it is there.
 *
 * <p>The record is read back, never assumed and never simply appended again: a booking under the caller's own key
 * takes effect once, and an edit is either accepted once or reported as what it is.
 */
public class LostAppendAnswerTest {
    private Fleet fleet;

    @BeforeClass
    public void start() {
        fleet = Fleet.start(Processes.home(), FleetPlan.small().withStages(List.of()));
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
            String key = Processes.ownKey(i);
            fleet.faults(fleet.logUrl(), Map.of("lose-answers", "1"));
            JsonHttp.Answer first = Processes.book(fleet, fleet.entries().get(0), 0, key, "{\"n\":1}");
            fleet.faults(fleet.logUrl(), Map.of("lose-answers", ""));
            JsonHttp.Answer second = Processes.book(fleet, fleet.entries().get(1), 0, key, "{\"n\":1}");
            assertEquals(second.status(), 200, first + " then " + second);
            assertEquals(Processes.effects(fleet, key), 1, first + " then " + second);
        }
    }

    @Test
    public void anEditIsInForceOnceIfItWasAccepted() {
        Member entry = fleet.entries().get(0);
        long against = Edits.row(fleet, entry).path("version").asLong();
        fleet.faults(fleet.logUrl(), Map.of("lose-answers", "1"));
        String kind = Edits.edit(fleet, entry, against, 55);
        fleet.faults(fleet.logUrl(), Map.of("lose-answers", ""));
        assertTrue(kind.equals("accepted") || kind.equals("unknown"), kind);
        if (kind.equals("accepted")) {
            for (Member e : fleet.entries()) {
                Fleet.await("the edit shows", Processes.LIMIT, () -> Edits.weight(fleet, e) == 55);
            }
        }
        assertEquals(Edits.edit(fleet, entry, against, 56), "rejected");
    }
}
