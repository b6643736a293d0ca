package org.cornelramp.systemtests;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

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
 * The log service is unavailable for some time.
 *
 * <p>Bookings by ticket continue to work, since a ticket needs no log. A booking under a key that the caller made needs
 * a record in the log and is refused as not run; an edit is not accepted. Both work again after the log recovers.
 */
public class LogOutageTest {
    /** Time for which the entry must observe the agents before {@link FleetActions#callerMadeKey} makes a key. */
    private static final long OBSERVATION_MILLIS = 4_000;

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
    public void ticketsSucceedAndCallerKeysAndEditsAreRefused() {
        Member entry = fleet.entries().get(0);
        FleetActions.pause(OBSERVATION_MILLIS);
        fleet.setFaults(fleet.logUrl(), Map.of("outage", "true"));
        for (int i = 0; i < 20; i++) {
            String key = FleetActions.mintKey(fleet, entry, 0);
            JsonHttp.Answer answer = FleetActions.book(fleet, entry, 0, key, "{\"n\":" + i + "}");
            assertEquals(answer.status(), 200, answer.body());
            assertEquals(FleetActions.effectCount(fleet, key), 1);
        }
        String callerMadeKey = FleetActions.callerMadeKey(1);
        JsonHttp.Answer refused = FleetActions.book(fleet, entry, 0, callerMadeKey, "{\"own\":1}");
        assertEquals(FleetActions.outcome(fleet, refused), "not-run", refused.body());
        assertNotEquals(TableEdits.editWeight(fleet, entry, version(entry), 77), "accepted");
        assertEquals(FleetActions.effectCount(fleet, callerMadeKey), 0);

        fleet.setFaults(fleet.logUrl(), Map.of("outage", ""));
        Fleet.await(
                "a key that the caller made is accepted again",
                FleetActions.AWAIT_TIMEOUT,
                () -> FleetActions.book(fleet, entry, 0, FleetActions.callerMadeKey(2), "{\"own\":2}")
                                .status()
                        == 200);
        Fleet.await("edits are accepted again", FleetActions.AWAIT_TIMEOUT, () -> TableEdits.editWeight(
                        fleet, entry, version(entry), 78)
                .equals("accepted"));
    }

    private long version(Member entry) {
        return TableEdits.row(fleet, entry).path("version").asLong();
    }
}
