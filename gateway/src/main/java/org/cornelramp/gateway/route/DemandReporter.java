package org.cornelramp.gateway.route;

import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.cornelramp.core.admission.DemandCounter;
import org.cornelramp.core.admission.DemandCounter.RequestInProgress;
import org.cornelramp.core.admission.DemandReport;
import org.cornelramp.core.admission.FleetDemand;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.core.path.Hop;
import org.cornelramp.core.path.StagePath;
import org.cornelramp.gateway.log.EventLog;
import org.cornelramp.gateway.peer.DemandSection;
import org.cornelramp.gateway.request.Attempt;
import org.cornelramp.gateway.request.Exchange;

/**
 * Counts the demand at this gateway and builds its report, for its own decisions and for its peers. Confined to the
 * router's thread.
 *
 * <p>Invariant: nothing is counted and no report is built while no function needs it, see
 * {@link FleetState#setDemandUse}.
 */
final class DemandReporter {
    /**
     * Interval at which the report is built: half the time between two rounds of updates. Built at each tick, it would
     * take three times the processor time, and be at most 60 ms fresher.
     */
    static final long INTERVAL_MILLIS = 60;

    /** Interval of the log line that gives the summed demand, in milliseconds. */
    private static final long LOG_INTERVAL_MILLIS = 5_000;

    private final DataCentre dataCentre;
    private final FleetState fleet;
    private final Collection<ActiveRequest> activeRequests;
    private final EventLog log;
    private DemandCounter counter = new DemandCounter();
    private Optional<DemandReport> report = Optional.empty();
    private long reportedMillis;
    private long loggedMillis;

    /** @param activeRequests the requests in progress */
    DemandReporter(DataCentre dataCentre, FleetState fleet, Collection<ActiveRequest> activeRequests, EventLog log) {
        this.dataCentre = dataCentre;
        this.fleet = fleet;
        this.activeRequests = activeRequests;
        this.log = log;
    }

    /** Records that a request was received. */
    void recordArrival(ActiveRequest request, long now) {
        if (fleet.reportsDemand()) {
            counter.recordArrival(
                    request.service(), request.exchange().request().rank(), now);
        }
    }

    /** Records that a request was refused; one that may have run does not count. */
    void recordRefusal(ActiveRequest request, long now) {
        if (fleet.reportsDemand() && request.possibleRunCount() == 0) {
            counter.recordRefusal(
                    request.service(), request.exchange().request().rank(), now);
        }
    }

    /**
     * The section for the next update, without its interval, which the sender of updates knows. A report that is due is
     * built and counts in {@link FleetState#demand}.
     */
    DemandSection section(long now) {
        if (!fleet.reportsDemand()) {
            if (report.isPresent()) {
                fleet.demand().removeOwn();
                report = Optional.empty();
                counter = new DemandCounter();
                log.line("peers", "demand not reported").write();
            }
            return DemandSection.NONE;
        }
        if (report.isEmpty() || now - reportedMillis >= INTERVAL_MILLIS) {
            if (report.isEmpty()) {
                log.line("peers", "demand reported").write();
            }
            DemandReport built = counter.report(
                    activeRequests.stream().map(DemandReporter::inProgress).toList(), now);
            fleet.demand().updateOwn(built, dataCentre, now);
            report = Optional.of(built);
            reportedMillis = now;
            counter.takeCollisions().forEach(names -> log.line("peers", "demand names collide")
                    .with("names", names)
                    .with("remedy", "rename one; until then both seem to have the demand of both")
                    .write());
            logSums(built, now);
        }
        return new DemandSection(report, 0, fleet.ownStatus());
    }

    private void logSums(DemandReport own, long now) {
        if (now - loggedMillis < LOG_INTERVAL_MILLIS) {
            return;
        }
        loggedMillis = now;
        FleetDemand demand = fleet.demand();
        Set<ServiceName> services = new TreeSet<>(counter.services());
        activeRequests.forEach(request -> services.add(request.service()));
        for (ServiceName service : services) {
            own.service(service).ifPresent(row -> log.routine("peers", "demand")
                    .with("service", service)
                    .with("perSecond", demand.arrivalsPerSecond(service, Integer.MAX_VALUE))
                    .with("ownPerSecond", row.arrivalsPerSecond())
                    .with("reports", demand.peerCount())
                    .with("oldestMillis", demand.oldestAgeMillis(now))
                    .with("oldestDetailsMillis", demand.oldestDetailsAgeMillis(now))
                    .write());
        }
    }

    private static RequestInProgress inProgress(ActiveRequest request) {
        Exchange exchange = request.exchange();
        Optional<Attempt> attempt = Optional.ofNullable(request.attempt());
        return new RequestInProgress(
                request.service(),
                exchange.request().rank(),
                exchange.request().organisation(),
                attempt.isEmpty() && !exchange.isCommitted(),
                tokenLayers(request),
                attempt.filter(sent -> sent.path().isEmpty())
                        .map(sent -> sent.server().id()));
    }

    private static long tokenLayers(ActiveRequest request) {
        StagePath path = request.loadedPath();
        return path == null
                ? 0
                : (long) request.expectedTokens()
                        * path.hops().stream().mapToInt(Hop::layers).sum();
    }
}
