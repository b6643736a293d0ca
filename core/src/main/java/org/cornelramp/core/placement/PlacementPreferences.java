package org.cornelramp.core.placement;

import java.util.Map;
import java.util.Set;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.DataCentre;

/**
 * What the planner considers beside the engines and their layers. Immutable, safe for use by any thread.
 *
 * @param demandFactors demand of each data centre divided by the mean of all; 1 if not listed
 * @param slowEngines engines that take longer than usual and so count less as holders
 * @param additionalLoads the most orders of the plan that only relieve a slow engine
 */
public record PlacementPreferences(
        Map<DataCentre, Double> demandFactors, Set<BackendServerId> slowEngines, int additionalLoads) {
    /** No preferences: the plan depends on the engines and their layers alone. */
    public static final PlacementPreferences NONE = new PlacementPreferences(Map.of(), Set.of(), 0);

    public PlacementPreferences {
        demandFactors = Map.copyOf(demandFactors);
        slowEngines = Set.copyOf(slowEngines);
    }
}
