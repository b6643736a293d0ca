package org.cornelramp.gateway.route;

import static org.testng.Assert.assertTrue;

import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** A server that limits the requests that it takes from all gateways together. */
public class ServerRateLimitTest {
    @DataProvider
    Object[][] limits() {
        return new Object[][] {{1, 1.0}, {4, 1.0}, {28, 1.0}, {4, 0.2}, {28, 0.2}, {4, 20.0}, {28, 20.0}};
    }

    /** Guards against servers in need that get more than they have named, because no gateway reads what they name. */
    @Test(dataProvider = "limits", groups = "known-red")
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
}
