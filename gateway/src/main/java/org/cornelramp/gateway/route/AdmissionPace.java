package org.cornelramp.gateway.route;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cornelramp.core.admission.AdmissionPolicy;
import org.cornelramp.core.admission.AdmissionQueue;
import org.cornelramp.core.admission.Fit;
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
import org.cornelramp.gateway.request.Attempt;

/**
 * Predicts the pauses and first events of the streams on a path, and judges whether one more stream keeps the pace that
 * their routes allow. Confined to the router's thread.
 */
final class AdmissionPace {
    private final FleetState fleet;
    private final Dispatcher dispatcher;
    private final Map<ServiceName, PaceEstimator> paces = new HashMap<>();
    private final Map<ServiceName, AdmissionPolicy> policies = new HashMap<>();
    private final RecentStarts<BackendServerId> recentStarts = new RecentStarts<>();

    AdmissionPace(FleetState fleet, Dispatcher dispatcher) {
        this.fleet = fleet;
        this.dispatcher = dispatcher;
    }

    /**
     * What a request competes with. Immutable.
     *
     * @param arrivalsPerSecond arrivals of more urgent requests at all gateways
     * @param copies copies of the model over which those are spread, at least 1
     * @param standing how the recent share of the request's priority and organisation affects the decision
     * @param onTimeWaiting whether a request waits that can still be on time and is at least as urgent
     */
    record Contention(double arrivalsPerSecond, double copies, Standing standing, boolean onTimeWaiting) {
        /** Requests of mean length for each copy of the model whose memory is left to more urgent ones. */
        double reservedRequests() {
            double expected = arrivalsPerSecond * Prospect.Reserve.USUAL_HORIZON_MILLIS / 1_000 / copies;
            return standing == Standing.STARVED ? 0 : expected;
        }
    }

    /** Records the time to the first event of an attempt, by which later predictions are calibrated. */
    void recordFirstEvent(ActiveRequest request, Attempt attempt, long now) {
        attempt.path().ifPresent(path -> pace(request)
                .recordFirstEvent(
                        pace(request).uncalibratedFirstEventMillis(path), (double) (now - attempt.startMillis()), now));
    }

    /** Records the pauses of a request's only attempt, which has ended. */
    void recordPauses(ActiveRequest request, Attempt attempt, long now) {
        double pauseMillis = request.exchange().meanPauseMillis();
        if (pauseMillis > 0) {
            attempt.path().ifPresent(path -> pace(request)
                    .recordPause(pace(request).uncalibratedPauseMillis(path), pauseMillis, now));
        }
    }

    /** Records that a request was sent to a first engine. */
    void recordStart(BackendServerId first, long now) {
        recentStarts.record(first, now);
    }

    /** Predicted time to the first event of a request on a path. */
    double firstEventMillis(ActiveRequest request, StagePath path, long now) {
        return pace(request).firstEventMillis(path, now);
    }

    /** What a request competes with, among the requests that wait. */
    Contention contention(WaitingRequest<ActiveRequest> waiting, AdmissionQueue<ActiveRequest> among, long now) {
        ActiveRequest request = waiting.work();
        double arrivals = fleet.demand().arrivalsPerSecond(request.service(), waiting.priority());
        return new Contention(
                arrivals,
                arrivals > 0 ? copies(request, now) : 1,
                among.standing(waiting, now),
                among.isOnTimeWaiting(waiting.priority(), now));
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

    /** Whether the streams on the path keep the pauses of their routes; may change the policy of the service. */
    boolean isKept(WaitingRequest<ActiveRequest> waiting, Dispatcher.Target target, Contention contention, long now) {
        return prospect(waiting, target, contention, now)
                .map(policies.computeIfAbsent(waiting.work().service(), service -> new AdmissionPolicy())::judge)
                .orElse(Fit.ON_TIME)
                .admits();
    }

    /** How a request would be judged now that starts with a prospect, or without one. Changes no policy. */
    Fit previewFit(ActiveRequest request, Optional<Prospect> prospect) {
        AdmissionPolicy policy =
                policies.getOrDefault(request.service(), new AdmissionPolicy()).copy();
        return prospect.map(policy::judge).orElse(Fit.ON_TIME);
    }

    /**
     * What is predicted for a request on the path of a target; empty if it may start without a prediction. There is none
     * while no more urgent requests arrive, nor for a request whose target has passed: a late answer is better than none.
     */
    Optional<Prospect> prospect(
            WaitingRequest<ActiveRequest> waiting, Dispatcher.Target target, Contention contention, long now) {
        boolean unlimited = contention.arrivalsPerSecond() <= 0 || now >= waiting.targetMillis();
        return target.path().filter(path -> !unlimited).map(path -> prospect(waiting, path, contention, now));
    }

    private Prospect prospect(WaitingRequest<ActiveRequest> waiting, StagePath path, Contention contention, long now) {
        ActiveRequest request = waiting.work();
        Route route = request.route();
        PaceEstimator pace = pace(request);
        double perRequest = dispatcher
                .engineSpec(request)
                .map(spec -> pace.pausePerRequestMillis(path, spec, now))
                .orElse(0.0);
        Prospect.Reserve reserve = new Prospect.Reserve(
                contention.arrivalsPerSecond(),
                0,
                Prospect.Reserve.USUAL_HORIZON_MILLIS,
                contention.copies(),
                perRequest);
        return new Prospect(
                waiting.priority(),
                pace.pauseMillis(path, now) + unseenRequests(path, now) * perRequest,
                route.gapMillis(),
                pace.firstEventMillis(path, now),
                (double) (waiting.targetMillis() - now),
                route.targetMillis(),
                (double) (waiting.patienceMillis() - now),
                reserve,
                contention.standing(),
                contention.onTimeWaiting());
    }

    private PaceEstimator pace(ActiveRequest request) {
        return paces.computeIfAbsent(request.service(), service -> new PaceEstimator(1));
    }

    /** Requests that peers are expected to have started on the path since their last updates. */
    private double unseenRequests(StagePath path, long now) {
        long ageMillis = fleet.demand().oldestAgeMillis(now);
        return recentStarts.expectedUnseen(path.first().id(), fleet.loads().peerCount(), ageMillis, now);
    }
}
