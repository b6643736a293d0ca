package org.cornelramp.gateway.route;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cornelramp.core.admission.AdmissionQueue;
import org.cornelramp.core.admission.PaceEstimator;
import org.cornelramp.core.admission.Prospect;
import org.cornelramp.core.admission.RecentStarts;
import org.cornelramp.core.admission.Standing;
import org.cornelramp.core.admission.WaitingRequest;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.core.path.StagePath;
import org.cornelramp.core.routing.EngineSpec;
import org.cornelramp.core.routing.Route;

/**
 * Predicts how a stream would do if it started now, from the demand of all gateways and from what this gateway has
 * observed. Confined to the router's thread.
 */
final class AdmissionForecaster {
    private final FleetState fleet;
    private final Dispatcher dispatcher;
    private final Map<ServiceName, PaceEstimator> paces = new HashMap<>();
    private final RecentStarts<BackendServerId> recentStarts = new RecentStarts<>();

    AdmissionForecaster(FleetState fleet, Dispatcher dispatcher) {
        this.fleet = fleet;
        this.dispatcher = dispatcher;
    }

    /** Predicts the pauses of the streams to the service of a request. */
    PaceEstimator pace(ActiveRequest request) {
        return paces.computeIfAbsent(request.service(), service -> new PaceEstimator(1));
    }

    /** Records that this gateway has started a stream at an engine. */
    void recordStart(BackendServerId first, long now) {
        recentStarts.record(first, now);
    }

    /**
     * What a decision on a request is made from; changes no state but that of the request.
     *
     * @param among the requests that wait
     * @param search finds a server
     */
    AdmissionOutlook outlook(
            WaitingRequest<ActiveRequest> waiting,
            AdmissionQueue<ActiveRequest> among,
            Dispatcher.TargetSearch search,
            long now) {
        ActiveRequest request = waiting.work();
        double arrivals = fleet.demand().arrivalsPerSecond(request.service(), waiting.priority());
        Standing standing = among.standing(waiting, now);
        double copies = arrivals > 0 ? copies(request, now) : 1;
        double reserved = arrivals * Prospect.Reserve.USUAL_HORIZON_MILLIS / 1_000 / copies;
        request.setReservedRequests(standing == Standing.STARVED ? 0 : reserved);
        Optional<Dispatcher.Target> target = search.find(request, now);
        // Not asked while no more urgent requests arrive, nor after the target: a late answer is better than none.
        boolean keepsPace = arrivals <= 0 || now >= waiting.targetMillis();
        Optional<Prospect> prospect = target.flatMap(Dispatcher.Target::path)
                .filter(path -> !keepsPace)
                .map(path ->
                        prospect(waiting, path, reserve(request, path, arrivals, copies, now), standing, among, now));
        return new AdmissionOutlook(arrivals, standing, target, prospect);
    }

    private Prospect.Reserve reserve(ActiveRequest request, StagePath path, double arrivals, double copies, long now) {
        double perRequest = dispatcher
                .engineSpec(request)
                .map(spec -> pace(request).pausePerRequestMillis(path, spec, now))
                .orElse(0.0);
        return new Prospect.Reserve(arrivals, 0, Prospect.Reserve.USUAL_HORIZON_MILLIS, copies, perRequest);
    }

    private Prospect prospect(
            WaitingRequest<ActiveRequest> waiting,
            StagePath path,
            Prospect.Reserve reserve,
            Standing standing,
            AdmissionQueue<ActiveRequest> among,
            long now) {
        Route route = waiting.work().route();
        PaceEstimator pace = pace(waiting.work());
        return new Prospect(
                waiting.priority(),
                pace.pauseMillis(path, now) + unseenRequests(path, now) * reserve.pausePerRequestMillis(),
                route.gapMillis(),
                pace.firstEventMillis(path, now),
                (double) (waiting.targetMillis() - now),
                route.targetMillis(),
                (double) (waiting.patienceMillis() - now),
                reserve,
                standing,
                among.isOnTimeWaiting(waiting.priority(), now));
    }

    /** Requests that peers are expected to have started on the path since their last updates. */
    private double unseenRequests(StagePath path, long now) {
        long ageMillis = fleet.demand().oldestAgeMillis(now);
        return recentStarts.expectedUnseen(path.first().id(), fleet.loads().peerCount(), ageMillis, now);
    }

    /** Copies of the model that the usable engines hold together; at least one. */
    private double copies(ActiveRequest request, long now) {
        int layers = dispatcher.engineSpec(request).map(EngineSpec::layers).orElse(1);
        int held = fleet.usableServers(request.service(), now).stream()
                .flatMap(server -> server.layers().stream())
                .mapToInt(range -> range.to() - range.from())
                .sum();
        return Math.max(1, held / (double) layers);
    }
}
