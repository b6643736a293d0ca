package org.cornelramp.gateway.route;

import java.util.Map;
import org.cornelramp.gateway.log.EventLog;
import org.cornelramp.gateway.metrics.Meters;
import org.cornelramp.gateway.request.Exchange;
import org.cornelramp.platform.MoveFault;
import org.cornelramp.platform.PlatformFault;

/** Handles what engines answer to questions about their state and to orders. Confined to the router's thread. */
final class EngineResultHandler {
    private final Map<Exchange, ActiveRequest> activeRequests;
    private final FleetState fleet;
    private final AsyncEngineControl engineControl;
    private final FailureDetector failureDetector;
    private final StreamMonitor streamMonitor;
    private final Dispatcher dispatcher;
    private final RoutingLog routingLog;
    private final EventLog log;
    private final Meters meters;

    /** @param activeRequests the requests in progress, kept up to date by the caller */
    EngineResultHandler(
            Map<Exchange, ActiveRequest> activeRequests,
            FleetState fleet,
            AsyncEngineControl engineControl,
            FailureDetector failureDetector,
            StreamMonitor streamMonitor,
            Dispatcher dispatcher,
            RoutingLog routingLog,
            EventLog log,
            Meters meters) {
        this.activeRequests = activeRequests;
        this.fleet = fleet;
        this.engineControl = engineControl;
        this.failureDetector = failureDetector;
        this.streamMonitor = streamMonitor;
        this.dispatcher = dispatcher;
        this.routingLog = routingLog;
        this.log = log;
        this.meters = meters;
    }

    /** Handles an engine's report, or the failure to read it. */
    void handleReport(RouterEvent.EngineReportResult reported, long now) {
        boolean missed = reported.report().isLeft()
                && reported.report().getLeft().kind() != PlatformFault.Kind.NOT_LISTENING
                && streamMonitor.isForwarding(
                        activeRequests.values(), reported.engine().id(), now);
        if (missed) {
            routingLog.probeUnanswered(reported.engine(), fleet.lagMillis());
            engineControl.recordInconclusiveProbe(reported.engine(), now);
        } else {
            failureDetector.handleReport(reported.engine(), reported.report(), now);
        }
    }

    /** Handles the result of an order to move a running request. */
    void handleMoveResult(RouterEvent.MoveResult moved, long now) {
        ActiveRequest request = activeRequests.get(moved.attempt().exchange());
        if (request == null || request.attempt() != moved.attempt()) {
            return;
        }
        boolean pending = request.isMoving() && request.isLatestMove(moved.path());
        if (pending) {
            request.endMove();
        }
        meters.countMove(moved.result().isRight());
        log.line("route", moved.result().isRight() ? "moved" : "not moved")
                .with("id", request.exchange().request().id())
                .with("path", moved.path().text())
                .with("detail", moved.result().fold(MoveFault::toString, any -> ""))
                .write();
        if (moved.result().isRight()) {
            applyMove(request, moved);
        } else if (pending) {
            streamMonitor.handleMoveFailure(
                    request, moved.attempt(), moved.result().getLeft(), now);
        }
    }

    private void applyMove(ActiveRequest request, RouterEvent.MoveResult moved) {
        if (request.acceptMove(moved.path())) {
            moved.attempt().setPath(moved.path());
            dispatcher.addLoad(request, moved.path());
        }
    }
}
