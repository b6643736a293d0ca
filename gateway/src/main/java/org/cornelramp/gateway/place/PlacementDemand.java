package org.cornelramp.gateway.place;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.core.placement.DemandFactors;
import org.cornelramp.core.placement.LoadBudget;
import org.cornelramp.core.placement.PlacementPreferences;
import org.cornelramp.core.placement.SlowEngines;
import org.cornelramp.gateway.log.EventLog;
import org.cornelramp.gateway.route.FleetView;

/**
 * Derives the planner's preferences from the demand that gateways report and from the pace of the engines. Owned by the
 * placement thread.
 *
 * <p>Invariant: a service without reported demand has no preferences. Every gateway observes, so that a new leader
 * knows the demand already; the limit of additional loads holds over a change of the leader too.
 */
final class PlacementDemand {
    private final Map<ServiceName, DemandFactors> factorsByService = new HashMap<>();
    private final SlowEngines slowEngines = new SlowEngines();
    private final LoadBudget budget = new LoadBudget();
    private final EventLog log;
    private Set<BackendServerId> slow = Set.of();

    PlacementDemand(EventLog log) {
        this.log = log;
    }

    /** Records the present demand and pace. */
    void observe(FleetView view, long nowMillis) {
        Set<BackendServerId> slowNow = slowEngines.update(view.slowdowns(), nowMillis);
        if (!slowNow.equals(slow)) {
            slow = slowNow;
            log.line("placement", "slow engines")
                    .with("servers", slow)
                    .with("loadsLeft", budget.available(nowMillis))
                    .write();
        }
        factorsByService.keySet().retainAll(view.arrivals().keySet());
        view.arrivals().forEach((service, arrivals) -> {
            DemandFactors smoothed = factorsByService.computeIfAbsent(service, any -> new DemandFactors());
            Map<DataCentre, Double> before = smoothed.factors();
            Map<DataCentre, Double> now = smoothed.update(arrivals, nowMillis);
            if (!now.equals(before)) {
                log.line("placement", "demand")
                        .with("service", service)
                        .with("factors", now)
                        .with("perSecond", arrivals)
                        .write();
            }
        });
    }

    /** Assumes that another leader has used up the additional loads of the last minute. */
    void startTerm(long nowMillis) {
        budget.assumeUsed(nowMillis);
    }

    PlacementPreferences preferences(ServiceName service, long nowMillis) {
        DemandFactors smoothed = factorsByService.get(service);
        return smoothed == null
                ? PlacementPreferences.NONE
                : new PlacementPreferences(smoothed.factors(), slow, budget.available(nowMillis));
    }

    /** Records an additional load, also one without an answer, which may have been accepted. */
    void recordAdditionalLoad(long nowMillis) {
        budget.record(nowMillis);
    }
}
