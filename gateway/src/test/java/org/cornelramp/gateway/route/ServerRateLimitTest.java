package org.cornelramp.gateway.route;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** A server that limits the requests that it takes from all gateways together. */
public class ServerRateLimitTest {
    /** Least share of a limit that is used while there is demand. */
    private static final double MIN_USED_SHARE = 0.7;

    /** Requests that a limit allows at least while its use is measured: many times its burst. */
    private static final double REQUESTS_COUNTED = 40;

    /** Time for which gateways count a silent peer. */
    private static final long GROUP_MEMORY_MILLIS = 9_000;

    @DataProvider
    Object[][] limits() {
        return new Object[][] {{1, 1.0}, {4, 1.0}, {28, 1.0}, {4, 0.2}, {28, 0.2}, {4, 20.0}, {28, 20.0}};
    }

    /** Guards against servers in need that get more than they have named, because no gateway reads what they name. */
    @Test(dataProvider = "limits")
    public void namedLimitIsKeptByAllGatewaysTogether(int gateways, double requestsPerSecond) {
        LimitedFleet fleet = new LimitedFleet(gateways, true, 1);
        fleet.run(2_000, 3);
        fleet.setLimit(Optional.of(String.valueOf(requestsPerSecond)));
        long named = fleet.now();
        fleet.run(20_000, Math.max(3, 3 * requestsPerSecond / gateways));
        long most = fleet.mostArrivals(named + LimitedFleet.SETTLE_MILLIS, fleet.now());
        double allowed = LimitedFleet.allowed(requestsPerSecond);
        assertTrue(most <= allowed, most + " requests in 4 s; allowed " + allowed);
    }

    /** Guards against a limiter that keeps a limit by serving nobody. */
    @Test(dataProvider = "limits")
    public void limitIsUsedWhileCallersWait(int gateways, double requestsPerSecond) {
        LimitedFleet fleet = new LimitedFleet(gateways, false, 2);
        fleet.setLimit(Optional.of(String.valueOf(requestsPerSecond)));
        double demand = Math.max(1, 4 * requestsPerSecond / gateways);
        fleet.run(8_000, demand);
        long start = fleet.now();
        long seconds = Math.round(Math.max(40, REQUESTS_COUNTED / requestsPerSecond));
        fleet.run(1_000 * seconds, demand);
        double share = fleet.arrivalsSince(start) / (seconds * requestsPerSecond);
        assertTrue(share >= MIN_USED_SHARE, share + " of the limit is used");
    }

    /** Guards against callers who wait for a limited server, or are refused, while another server could serve them. */
    @Test
    public void otherServersTakeWhatALimitLeaves() {
        LimitedFleet fleet = new LimitedFleet(4, true, 3);
        fleet.setLimit(Optional.of("0.2"));
        fleet.run(20_000, 10);
        assertEquals(fleet.refused(), 0);
        assertTrue(fleet.answered() > 700, fleet.answered() + " answers");
    }

    /** Guards against limits that stay after the server has stopped naming them. */
    @Test
    public void limitEndsWithTheFirstAnswerWithoutIt() {
        LimitedFleet fleet = new LimitedFleet(4, true, 4);
        fleet.setLimit(Optional.of("2"));
        fleet.run(6_000, 10);
        fleet.setLimit(Optional.empty());
        fleet.run(2_000, 10);
        long ended = fleet.now();
        fleet.run(4_000, 10);
        assertTrue(fleet.arrivalsSince(ended) > 100, fleet.arrivalsSince(ended) + " requests in 4 s");
    }

    /** Guards against limits that outlive the incarnation that has named them. */
    @Test
    public void limitEndsWithTheIncarnation() {
        LimitedFleet fleet = new LimitedFleet(4, true, 5);
        fleet.setLimit(Optional.of("0.2"));
        fleet.run(6_000, 10);
        fleet.setLimit(Optional.empty());
        fleet.restartEngine();
        long restarted = fleet.now();
        fleet.run(2_000, 10);
        assertTrue(fleet.arrivalsSince(restarted) > 40, fleet.arrivalsSince(restarted) + " requests in 2 s");
    }

    /** Guards against gateways that each use the whole limit because they do not hear each other. */
    @Test
    public void silentPeersKeepTheirPartOfTheLimit() {
        LimitedFleet fleet = new LimitedFleet(4, true, 6);
        fleet.setLimit(Optional.of("4"));
        fleet.run(6_000, 10);
        fleet.setUpdateLoss(1);
        long lost = fleet.now();
        fleet.run(GROUP_MEMORY_MILLIS, 10);
        long most = fleet.mostArrivals(lost, fleet.now());
        assertTrue(most <= LimitedFleet.allowed(4), most + " requests in 4 s");
    }
}
