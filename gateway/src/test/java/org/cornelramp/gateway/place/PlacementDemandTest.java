package org.cornelramp.gateway.place;

import static org.testng.Assert.assertEquals;

import java.io.ByteArrayOutputStream;
import java.time.Clock;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.core.placement.LoadBudget;
import org.cornelramp.core.placement.PlacementPreferences;
import org.cornelramp.gateway.log.EventLog;
import org.cornelramp.gateway.route.FleetView;
import org.testng.annotations.Test;

/** Which preferences the leader passes to the planner, with one engine twelve times slower. */
public class PlacementDemandTest {
    private static final ServiceName SERVICE = new ServiceName("llm");
    private static final BackendServerId SLOW = new BackendServerId("e1");

    private static FleetView view(Map<ServiceName, Map<DataCentre, Double>> arrivals) {
        return new FleetView(List.of(), Set.of(), true, true, arrivals, Map.of(SLOW, 12.0));
    }

    /**
     * Guards against a slow engine that changes the plan while no gateway reports demand, and against more additional
     * loads in a minute than the limit, also after a change of the leader.
     */
    @Test
    public void prefersNothingWithoutReportsAndLimitsAdditionalLoads() {
        PlacementDemand demand =
                new PlacementDemand(new EventLog(new ByteArrayOutputStream(), Clock.systemUTC(), "g1"));
        FleetView reported = view(Map.of(SERVICE, Map.of(new DataCentre("dc1"), 30.0)));
        demand.startTerm(0);
        int loads = 0;
        for (long now = 0; now < 119_000; now += 150) {
            demand.observe(reported, now);
            for (int n = demand.preferences(SERVICE, now).additionalLoads(); n > 0; n--) {
                demand.recordAdditionalLoad(now);
                loads++;
            }
        }
        assertEquals(loads, LoadBudget.LOADS);
        assertEquals(demand.preferences(SERVICE, 119_000).slowEngines(), Set.of(SLOW));
        demand.startTerm(130_000);
        assertEquals(demand.preferences(SERVICE, 131_000).additionalLoads(), 0);
        demand.observe(view(Map.of()), 131_150);
        assertEquals(demand.preferences(SERVICE, 200_000), PlacementPreferences.NONE);
    }
}
