package org.cornelramp.gateway.route;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.fleet.SuspectedServers.Evidence;
import org.cornelramp.core.fleet.UnansweredProbes;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.gateway.log.EventLog;
import org.cornelramp.gateway.metrics.Meters;
import org.cornelramp.gateway.request.Attempt;
import org.cornelramp.gateway.request.AttemptEnd;
import org.cornelramp.platform.EngineReport;
import org.cornelramp.platform.StoreFault;

/**
 * Takes from the ends of attempts and from engines' reports which servers fail, and notes it in the beliefs. Owned by the
 * router's duty.
 *
 * <p>Invariant: a server is held to be dead only on what this process has seen itself.
 */
final class ServerJudge {
    /** Part of the former pace by which it must change to be logged. */
    private static final double PACE_CHANGE = 0.3;

    /** Lowest status by which a backend server says that it failed. */
    private static final int SERVER_ERROR = 500;

    private final Beliefs beliefs;
    private final EngineDesk desk;
    private final long stallMillis;
    private final EventLog log;
    private final Meters meters;
    private final Consumer<RouterEvent> router;
    private final UnansweredProbes unanswered = new UnansweredProbes();
    private BiConsumer<BackendServerId, Long> onLost = (id, nowMillis) -> {};
    private boolean lostSeen;

    /**
     * @param desk asks engines for their reports
     * @param stallMillis time that work waits for a dead engine until it is cut off
     * @param router takes the reports
     */
    ServerJudge(
            Beliefs beliefs,
            EngineDesk desk,
            long stallMillis,
            EventLog log,
            Meters meters,
            Consumer<RouterEvent> router) {
        this.beliefs = beliefs;
        this.desk = desk;
        this.stallMillis = stallMillis;
        this.log = log;
        this.meters = meters;
        this.router = router;
    }

    /** Sets who is told of each server that was found dead, and when. */
    void setOnLost(BiConsumer<BackendServerId, Long> listener) {
        onLost = listener;
    }

    /** Whether a server has been found dead since the last call. */
    boolean takeLostSeen() {
        boolean seen = lostSeen;
        lostSeen = false;
        return seen;
    }

    /** Takes from an end how well the server does that the request was sent to. */
    void learn(Attempt attempt, AttemptEnd end, long now) {
        if (attempt.path().isEmpty()) {
            boolean good = end.kind() == AttemptEnd.Kind.ANSWERED && end.status() < SERVER_ERROR;
            beliefs.plain().requestEnded(attempt.server().id(), good, now - attempt.startMillis());
        } else if (end.kind() == AttemptEnd.Kind.RELAYED) {
            beliefs.loads().recordOutcome(attempt.server().id(), false);
        } else if (isOwnFailure(attempt, end)) {
            beliefs.loads().recordOutcome(attempt.server().id(), true);
        }
    }

    /** Whether an engine broke off by itself, neither for another engine of the path nor on our word. */
    private static boolean isOwnFailure(Attempt attempt, AttemptEnd end) {
        boolean broken = end.kind() == AttemptEnd.Kind.BROKEN || end.kind() == AttemptEnd.Kind.ANSWERED;
        return attempt.path().isPresent() && broken && end.faultAt().isEmpty() && !attempt.isCancelled();
    }

    /** Learns from a failure which server to leave alone for a while. */
    void blame(Attempt attempt, AttemptEnd end, long now) {
        Optional<BackendServer> named = end.faultAt()
                .flatMap(address -> beliefs.at(address, attempt.server().service()));
        if (named.isPresent()) {
            // A dead engine is named only after its work has stalled; one that is full or moving refuses at once.
            boolean stalled = now - attempt.startMillis() > stallMillis / 2;
            suspect(named.get(), stalled ? Evidence.LOST : Evidence.BUSY, "blamed with " + end.detail(), now);
            if (!stalled && named.get().layers().isPresent()) {
                desk.askQuickly(named.get(), router, beliefs.lagMillis(), now);
            }
        } else if (!end.kind().mayHaveArrived() && !attempt.isCancelled()) {
            // One that this gateway cancelled before it was sent says nothing of its first engine.
            notReached(attempt.server(), end, now);
        } else if (isOwnFailure(attempt, end)) {
            // A crash resets the connections that are open before it refuses new ones.
            desk.askQuickly(attempt.server(), router, beliefs.lagMillis(), now);
        }
    }

    /**
     * Takes that no connection could be had. A refused one shows that nothing listens. A connect without an answer may have
     * met a full accept queue or a lost packet as well, so an engine is asked over another connection; a plain server
     * cannot be asked.
     */
    private void notReached(BackendServer server, AttemptEnd end, long now) {
        boolean canAsk = !server.card().isEmpty();
        if (end.kind() == AttemptEnd.Kind.NO_CONNECTION && canAsk) {
            suspect(server, Evidence.BUSY, end.detail(), now);
            desk.askQuickly(server, router, beliefs.lagMillis(), now);
        } else {
            suspect(server, Evidence.LOST, end.detail(), now);
        }
    }

    private void suspect(BackendServer server, Evidence evidence, String why, long now) {
        if (!beliefs.suspicions().suspect(server.id(), evidence, now)) {
            return;
        }
        if (evidence.isLost()) {
            onLost.accept(server.id(), now);
            lostSeen = true;
        }
        meters.suspected(evidence.name());
        log.line("fleet", "suspected")
                .with("server", server.id())
                .with("address", server.address())
                .with("evidence", evidence)
                .with("why", why)
                .write();
    }

    /**
     * Takes a peer's word that it has seen a server fail, and asks the engine whether it lives. A plain server has no
     * report, and is found by the next request that it fails.
     */
    void seenToFail(BackendServer server, long now) {
        if (!server.card().isEmpty()) {
            unanswered.reportedByPeer(server.id(), now);
            desk.askQuickly(server, router, beliefs.lagMillis(), now);
        }
    }

    /** Takes that an engine took no part in a stream that was to move to it: it is full, gives layers up, or is gone. */
    void refusedPart(BackendServer engine, long now) {
        suspect(engine, Evidence.BUSY, "a stream could not move there", now);
        desk.askQuickly(engine, router, beliefs.lagMillis(), now);
    }

    /** Takes that events have passed an engine, the last of them at a moment. */
    void passed(BackendServerId engine, long eventMillis, long now) {
        seenAlive(engine, eventMillis, "events pass it", now);
    }

    private void seenAlive(BackendServerId id, long seenMillis, String why, long now) {
        if (beliefs.suspicions().recordSignOfLife(id, seenMillis, now)) {
            log.line("fleet", "trusted").with("server", id).with("why", why).write();
        }
    }

    /** Takes an engine's report, or that there was none. */
    void reported(BackendServer engine, Either<StoreFault, EngineReport> report, long now) {
        if (report.isLeft()) {
            unreported(engine, report.getLeft(), now);
            return;
        }
        desk.answered(engine.id(), now);
        seenAlive(engine.id(), now, "it answers", now);
        double before = beliefs.loads().slowdown(engine.id());
        double pace = report.get().pace();
        beliefs.loads().setSlowdown(engine.id(), pace, now);
        if (Math.abs(pace - before) > PACE_CHANGE * before) {
            log.line("fleet", "pace")
                    .with("server", engine.id())
                    .with("before", before)
                    .with("now", pace)
                    .write();
        }
        for (EngineReport.Stalled stalled : report.get().stalled()) {
            beliefs.at(stalled.address(), engine.service())
                    .ifPresent(server -> suspect(server, Evidence.LOST, "work stalls there", now));
        }
    }

    private void unreported(BackendServer engine, StoreFault fault, long now) {
        boolean dead = fault.kind() == StoreFault.Kind.NOT_LISTENING;
        if (beliefs.suspicions().isLost(engine.id(), now)) {
            beliefs.suspicions().probeFailed(engine.id(), now);
        } else if (!dead && unanswered.isLikelyLocalFault(engine.id(), beliefs.isLate(now), now)) {
            desk.ask(engine, router); // with a timeout that an overloaded process keeps as well
        } else {
            suspect(engine, dead ? Evidence.LOST : Evidence.SILENT, "no report: " + fault, now);
        }
    }
}
