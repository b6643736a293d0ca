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
 * The log service is down for a while.
 *
 * <p>Bookings by ticket go on, since a ticket needs no log. A booking under the caller's own key needs a record there
 * and is honestly refused as not run; an edit is not accepted. When the log is back both work again.
 */
public class LogOutageTest {
    /** Time that the entry has to have watched the agents before the key of {@link Processes#ownKey} was made. */
    private static final long WATCHED_MILLIS = 4_000;

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
    public void ticketsGoOnAndTheRestIsRefusedHonestly() {
        Member entry = fleet.entries().get(0);
        Processes.pause(WATCHED_MILLIS);
        fleet.faults(fleet.logUrl(), Map.of("outage", "true"));
        for (int i = 0; i < 20; i++) {
            String key = Processes.mintKey(fleet, entry, 0);
            JsonHttp.Answer answer = Processes.book(fleet, entry, 0, key, "{\"n\":" + i + "}");
            assertEquals(answer.status(), 200, answer.body());
            assertEquals(Processes.effects(fleet, key), 1);
        }
        String own = Processes.ownKey(1);
        JsonHttp.Answer refused = Processes.book(fleet, entry, 0, own, "{\"own\":1}");
        assertEquals(Processes.outcome(fleet, refused), "not-run", refused.body());
        assertNotEquals(Edits.edit(fleet, entry, version(entry), 77), "accepted");
        assertEquals(Processes.effects(fleet, own), 0);

        fleet.faults(fleet.logUrl(), Map.of("outage", ""));
        Fleet.await(
                "the caller's own key is taken again",
                Processes.LIMIT,
                () -> Processes.book(fleet, entry, 0, Processes.ownKey(2), "{\"own\":2}")
                                .status()
                        == 200);
        Fleet.await("edits are taken again", Processes.LIMIT, () -> Edits.edit(fleet, entry, version(entry), 78)
                .equals("accepted"));
    }

    private long version(Member entry) {
        return Edits.row(fleet, entry).path("version").asLong();
    }
}
