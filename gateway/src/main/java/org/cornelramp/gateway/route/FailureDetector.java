package org.cornelramp.gateway.route;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.fleet.PlainServerStats;
import org.cornelramp.core.fleet.SuspectedServers.Evidence;
import org.cornelramp.core.fleet.UnansweredProbes;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.gateway.log.EventLog;
import org.cornelramp.gateway.metrics.Meters;
import org.cornelramp.gateway.request.Attempt;
import org.cornelramp.gateway.request.AttemptEnd;
import org.cornelramp.platform.EngineReport;
import org.cornelramp.platform.PlatformFault;
import org.eclipse.jetty.http.HttpStatus;

/**
 * Detects failed servers from the ends of attempts and from engines' reports, and records them as suspected. Confined
 * to the router's thread.
 *
 * <p>Invariant: a server is considered dead only on evidence that this process has observed itself.
 */
final class FailureDetector implements CrashObserver.EndListener {
    /** Relative change of an engine's slowdown factor from which on the change is logged. */
    private static final double LOGGED_SLOWDOWN_CHANGE = 0.3;

    /** Lowest HTTP status that means a failure of the backend server. */
    private static final int SERVER_ERROR = 500;

    private final FleetState fleet;
    private final AsyncEngineControl engineControl;
    private final long stallMillis;
    private final EventLog log;
    private final Meters meters;
    private final Consumer<RouterEvent> router;
    private final UnansweredProbes unanswered = new UnansweredProbes();
    private BiConsumer<BackendServerId, Long> onLost = (id, nowMillis) -> {};
    private boolean newlyLost;

    /**
     * @param engineControl reads engines' reports
     * @param stallMillis time for which work waits for a dead engine before it is cancelled
     * @param router receives the reports as events
     */
    FailureDetector(
            FleetState fleet,
            AsyncEngineControl engineControl,
            long stallMillis,
            EventLog log,
            Meters meters,
            Consumer<RouterEvent> router) {
        this.fleet = fleet;
        this.engineControl = engineControl;
        this.stallMillis = stallMillis;
        this.log = log;
        this.meters = meters;
        this.router = router;
    }

    /** Sets the listener that is called with each server found dead and the time. */
    void setOnLost(BiConsumer<BackendServerId, Long> listener) {
        onLost = listener;
    }

    /** Whether a server has been found dead since the last call; resets the flag. */
    boolean pollNewlyLost() {
        boolean seen = newlyLost;
        newlyLost = false;
        return seen;
    }

    /** Records from the end of an attempt how well its server works; nothing while that is undecided. */
    void recordOutcome(Attempt attempt, AttemptEnd end, long now) {
        if (end.kind().isUnframed()) {
            return;
        }
        if (attempt.path().isEmpty()) {
            recordPlainOutcome(attempt, end, now);
        } else if (end.kind() == AttemptEnd.Kind.RELAYED) {
            fleet.loads().recordOutcome(attempt.server().id(), false);
        } else if (isOwnFailure(attempt, end)) {
            fleet.loads().recordOutcome(attempt.server().id(), true);
        }
    }

    private void recordPlainOutcome(Attempt attempt, AttemptEnd end, long now) {
        BackendServerId server = attempt.server().id();
        long millis = now - attempt.startMillis();
        if (fleet.plainStats().requestEnded(server, plainOutcome(attempt, end), millis, now)) {
            meters.countFullServer("shed");
            log.routine("fleet", "full")
                    .with("server", server)
                    .with("why", "shed")
                    .with("id", attempt.exchange().request().id())
                    .with("inFlight", fleet.plainStats().inFlight(server))
                    .with("peersInFlight", fleet.plainPeersInFlight(server))
                    .with("forMillis", fleet.plainStats().millisUntilSlot(server, now))
                    .write();
        }
    }

    private static PlainServerStats.Outcome plainOutcome(Attempt attempt, AttemptEnd end) {
        if (end.kind() == AttemptEnd.Kind.ANSWERED && end.status() < SERVER_ERROR) {
            return PlainServerStats.Outcome.SUCCEEDED;
        }
        if (end.kind() == AttemptEnd.Kind.NOT_RUN && end.status() == HttpStatus.SERVICE_UNAVAILABLE_503) {
            return PlainServerStats.Outcome.SHED;
        }
        boolean givenUp =
                end.kind() == AttemptEnd.Kind.CLIENT_GONE || (attempt.isCancelled() && !attempt.hasInvalidResponse());
        return givenUp ? PlainServerStats.Outcome.ABANDONED : PlainServerStats.Outcome.FAILED;
    }

    /**
     * Whether the attempt failed at its own engine, neither because of another engine of the path nor by cancellation
     * for a reason other than its response.
     */
    private static boolean isOwnFailure(Attempt attempt, AttemptEnd end) {
        boolean broken = end.kind() == AttemptEnd.Kind.BROKEN || end.kind() == AttemptEnd.Kind.ANSWERED;
        boolean ownReason = !attempt.isCancelled() || attempt.hasInvalidResponse();
        return attempt.path().isPresent() && broken && end.faultAt().isEmpty() && ownReason;
    }

    /** Determines from a failed attempt which server to suspect or to probe. */
    void handleFailedAttempt(Attempt attempt, AttemptEnd end, long now) {
        Optional<BackendServer> named = end.faultAt()
                .flatMap(address -> fleet.serverAt(address, attempt.server().service()));
        if (named.isPresent()) {
            // A dead engine is named only after its work has stalled; an engine that is full or being moved refuses at
            // once.
            boolean stalled = now - attempt.startMillis() > stallMillis / 2;
            suspect(
                    named.get(),
                    stalled ? Evidence.LOST : Evidence.BUSY,
                    "named by a failed attempt: " + end.detail(),
                    now);
            if (!stalled && named.get().layers().isPresent()) {
                engineControl.probe(named.get(), router, fleet.lagMillis(), AsyncEngineControl.NO_EVENT, now);
            }
        } else if (!end.kind().mayHaveArrived() && !attempt.isCancelled()) {
            // An attempt that this gateway cancelled before sending it is no evidence against its first engine.
            handleNoConnection(attempt.server(), end, now);
        } else if (isOwnFailure(attempt, end)) {
            // A crash resets the open connections before new ones are refused.
            doubt(attempt, now);
            engineControl.probe(attempt.server(), router, fleet.lagMillis(), AsyncEngineControl.NO_EVENT, now);
        }
    }

    /**
     * Handles a connection that could not be opened. A refused connection shows that nothing listens at the address. A
     * connect that times out may also be due to a full accept queue or a lost packet, so an engine is probed over
     * another connection; a plain server cannot be probed.
     */
    private void handleNoConnection(BackendServer server, AttemptEnd end, long now) {
        boolean canAsk = !server.card().isEmpty();
        if (end.kind() == AttemptEnd.Kind.NO_CONNECTION && canAsk) {
            suspect(server, Evidence.BUSY, end.detail(), now);
            engineControl.probe(server, router, fleet.lagMillis(), AsyncEngineControl.NO_EVENT, now);
        } else {
            suspect(server, Evidence.LOST, end.detail(), now);
        }
    }

    private void doubt(Attempt attempt, long now) {
        boolean broken = attempt.connectionFault() == Attempt.ConnectionFault.BROKEN;
        if (broken && fleet.doubtfulServers().recordBreak(attempt.server().id(), now)) {
            log.line("fleet", "doubted")
                    .with("server", attempt.server().id())
                    .with("id", attempt.exchange().request().id())
                    .write();
        }
    }

    private void suspect(BackendServer server, Evidence evidence, String why, long now) {
        if (!fleet.suspectedServers().suspect(server.id(), evidence, now)) {
            return;
        }
        if (evidence.isLost()) {
            onLost.accept(server.id(), now);
            newlyLost = true;
        }
        meters.countSuspicion(evidence.name());
        log.line("fleet", "suspected")
                .with("server", server.id())
                .with("address", server.address())
                .with("evidence", evidence)
                .with("why", why)
                .write();
    }

    /** Handles the end of a server under requests. An engine is probed; a plain server would be tried by requests. */
    @Override
    public void serverEnded(BackendServerId id, boolean certain, long now) {
        fleet.registry()
                .server(id)
                .filter(server -> server.card().isEmpty())
                .ifPresent(server ->
                        suspect(server, certain ? Evidence.LOST : Evidence.SILENT, "it has ended under requests", now));
    }

    @Override
    public void serverLives(BackendServerId id, long now) {
        recordAlive(id, now, "it has given a sign of life", now);
    }

    /**
     * Handles a peer's report that a server has failed by probing the engine. A plain server has no report; its failure
     * shows at the next request.
     */
    void handlePeerSuspicion(BackendServer server, long now) {
        if (!server.card().isEmpty()) {
            unanswered.reportedByPeer(server.id(), now);
            engineControl.probe(server, router, fleet.lagMillis(), AsyncEngineControl.NO_EVENT, now);
        }
    }

    /**
     * Handles an engine's refusal to take part in a stream that was to move to it: it is full, gives up layers, or is
     * gone.
     */
    void handleRefusedMove(BackendServer engine, long now) {
        suspect(engine, Evidence.BUSY, "a stream could not be moved to it", now);
        engineControl.probe(engine, router, fleet.lagMillis(), AsyncEngineControl.NO_EVENT, now);
    }

    /** Records that an engine has forwarded events, the last of them at {@code eventMillis}. */
    void recordForwardedEvents(BackendServerId engine, long eventMillis, long now) {
        recordAlive(engine, eventMillis, "it forwards events", now);
    }

    private void recordAlive(BackendServerId id, long seenMillis, String why, long now) {
        if (fleet.suspectedServers().recordSignOfLife(id, seenMillis, now)) {
            log.line("fleet", "trusted").with("server", id).with("why", why).write();
        }
    }

    /** Handles an engine's report, or the failure to read it. */
    void handleReport(BackendServer engine, Either<PlatformFault, EngineReport> report, long now) {
        if (report.isLeft()) {
            handleMissingReport(engine, report.getLeft(), now);
            return;
        }
        engineControl.recordAnswer(engine.id(), now);
        fleet.doubtfulServers().recordSignOfLife(engine.id());
        recordAlive(engine.id(), now, "it answers", now);
        double before = fleet.loads().slowdown(engine.id());
        double slowdown = report.get().slowdown();
        fleet.loads().setSlowdown(engine.id(), slowdown, now);
        if (Math.abs(slowdown - before) > LOGGED_SLOWDOWN_CHANGE * before) {
            log.line("fleet", "pace")
                    .with("server", engine.id())
                    .with("before", before)
                    .with("now", slowdown)
                    .write();
        }
        for (EngineReport.Stalled stalled : report.get().stalled()) {
            fleet.serverAt(stalled.address(), engine.service())
                    .ifPresent(server -> suspect(server, Evidence.LOST, "work stalls there", now));
        }
    }

    private void handleMissingReport(BackendServer engine, PlatformFault fault, long now) {
        boolean dead = fault.kind() == PlatformFault.Kind.NOT_LISTENING;
        if (fleet.suspectedServers().isLost(engine.id(), now)) {
            fleet.suspectedServers().probeFailed(engine.id(), now);
        } else if (!dead && unanswered.isLikelyLocalFault(engine.id(), fleet.isLate(now), now)) {
            engineControl.requestReport(engine, router); // with a timeout long enough for an overloaded process
        } else {
            suspect(engine, dead ? Evidence.LOST : Evidence.SILENT, "no report: " + fault, now);
        }
    }
}
