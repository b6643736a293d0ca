package org.cornelramp.core.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cornelramp.core.model.DataCentre;

/** Choice between plain servers that few gateways share. */
class PlainServerSelectorProperties {
    private static final List<PlainServerStats.Outcome> ENDS = List.of(PlainServerStats.Outcome.values());
    private static final DataCentre HOME = new DataCentre("dc1");

    /** Guards against other decisions than before the selector for many gateways, whatever the servers report. */
    @Property(tries = 200)
    void decisionsAreThoseOfTheFormula(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<BackendServer> servers = List.of(PlainFleet.server("p0"), PlainFleet.server("p1"));
        assertFalse(SharedServerSelector.applies(servers, PlainFleet.SLOTS - 1));
        PlainServerStats stats = new PlainServerStats();
        int[] inFlight = new int[2];
        double[] latency = {60, 60};
        double[] failures = new double[2];
        for (int now = 0; now < 100; now++) {
            int i = random.nextInt(2);
            if (random.nextBoolean()) {
                stats.requestSent(servers.get(i).id(), now);
                inFlight[i]++;
            } else {
                PlainServerStats.Outcome outcome = ENDS.get(random.nextInt(ENDS.size()));
                boolean good = outcome == PlainServerStats.Outcome.SUCCEEDED;
                int millis = random.nextInt(200);
                stats.requestEnded(servers.get(i).id(), outcome, millis, now);
                inFlight[i] = Math.max(0, inFlight[i] - 1);
                failures[i] += 0.1 * ((good ? 0 : 1) - failures[i]);
                latency[i] += good ? 0.1 * (millis - latency[i]) : 0;
            }
            stats.loadReported(servers.get(i).id(), random.nextInt(9), PlainFleet.SLOTS, now);
            stats.coldReported(servers.get(i).id(), random.nextInt(9), now);
            double[] cost = new double[2];
            for (int k = 0; k < 2; k++) {
                cost[k] = latency[k] * (1 + inFlight[k] / (double) PlainFleet.SLOTS) + failures[k] * 400;
            }
            Optional<BackendServer> chosen = new PlainServerSelector(stats).choose(servers, Set.of(), HOME);
            assertEquals(chosen, Optional.of(servers.get(cost[1] < cost[0] ? 1 : 0)));
        }
    }
}
