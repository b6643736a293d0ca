package org.cornelramp.gateway.route;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.path.Hop;
import org.cornelramp.core.path.PathFinder;
import org.cornelramp.core.path.SilentEngineDetector;
import org.cornelramp.core.path.StagePath;
import org.cornelramp.core.routing.RoutingConfig;
import org.cornelramp.core.routing.ServiceSpec;
import org.cornelramp.gateway.log.EventLog;
import org.cornelramp.gateway.request.Attempt;
import org.cornelramp.platform.MoveFault;
import org.cornelramp.platform.PlatformFault;

/**
 * Detects stalled streams and moves running streams off dead engines.
 *
 * <p>The gateway has no connection to an engine in the middle of a path. If such an engine dies, the first engine only
 * stops sending events and closes the stream seconds later, when the client has left. So after a short silence the
 * engines that may be dead are probed; an engine that does not answer is avoided, and running streams are moved to a
 * path without it. Confined to the router's thread.
 */
final class StreamMonitor {
    /**
     * Least time between two orders to move one stream off an engine that is shutting down, while its successor loads
     * layers.
     */
    private static final long MOVE_PAUSE_MILLIS = 250;

    /**
     * Time over which the streams of an engine that is shutting down are moved off it. Moved at the same time, 30
     * streams paused for 200 to 400 ms while the successor read their prompts; and a stream that ends earlier need not
     * move. The engine continues to serve for two seconds or more.
     */
    private static final long MOVE_SPREAD_MILLIS = 1_400;

    /** Most orders to move one stream off a dead engine; each refusal excludes one more engine. */
    private static final int MAX_MOVES = 4;

    /**
     * Time after which an order without a result counts as not answered. An order times out at the engine call after
     * 400 ms, and may wait for a thread behind some others; a result that the router's full queue refused never comes.
     */
    private static final long MOVE_LIMIT_MILLIS = 2_000;

    private static final MoveFault NO_RESULT = new MoveFault(
            new PlatformFault(
                    PlatformFault.Kind.NO_ANSWER, "The order had no result within " + MOVE_LIMIT_MILLIS + " ms."),
            Optional.empty());

    private final FleetState fleet;
    private final AsyncEngineControl engineControl;
    private final FailureDetector failureDetector;
    private final OverdueAttempts overdueAttempts;
    private final FaultBarrier faults;
    private final EventLog log;
    private final Consumer<RouterEvent> router;

    /**
     * @param overdueAttempts decides which streams can be restarted at once
     * @param faults keeps an exception in one stream from the others
     */
    StreamMonitor(
            FleetState fleet,
            AsyncEngineControl engineControl,
            FailureDetector failureDetector,
            OverdueAttempts overdueAttempts,
            FaultBarrier faults,
            EventLog log,
            Consumer<RouterEvent> router) {
        this.fleet = fleet;
        this.engineControl = engineControl;
        this.failureDetector = failureDetector;
        this.overdueAttempts = overdueAttempts;
        this.faults = faults;
        this.log = log;
        this.router = router;
    }

    /** Checks all running streams. */
    void check(Collection<ActiveRequest> activeRequests, Optional<RoutingConfig> config, long now) {
        for (ActiveRequest request : activeRequests) {
            Attempt attempt = request.attempt();
            if (attempt == null || attempt.path().isEmpty()) {
                continue;
            }
            if (request.isMoveOverdue(MOVE_LIMIT_MILLIS, now)) {
                faults.run(request, () -> abandonMove(request, attempt, now));
            }
            if (!request.isMoving()) {
                StagePath path = attempt.path().get();
                faults.run(request, () -> check(request, attempt, path, config, now));
            }
        }
        List<SilentEngineDetector.StreamActivity> streams = streams(activeRequests);
        trustForwardingEngines(streams, now);
        probeSilentEngines(activeRequests, streams, now);
    }

    /**
     * Clears the suspicion of silent engines that have forwarded events since. Skipped while this process is late,
     * because the events that it reads now may have been sent before the engine fell silent.
     */
    private void trustForwardingEngines(List<SilentEngineDetector.StreamActivity> streams, long now) {
        if (fleet.isLate(now) || !fleet.suspectedServers().hasSilentSuspects(now)) {
            return;
        }
        streams.stream().filter(SilentEngineDetector.StreamActivity::begun).forEach(stream -> stream.engines()
                .forEach(id -> failureDetector.recordForwardedEvents(
                        id, stream.lastEventMillis() - SilentEngineDetector.MAX_DELAY_AFTER_DEATH_MILLIS, now)));
    }

    private static List<BackendServerId> engines(StagePath path) {
        return path.hops().stream().map(hop -> hop.server().id()).toList();
    }

    /**
     * Probes the engines that may be dead, so that their streams continue elsewhere before the clients notice. An engine
     * whose registration is removed may be dead or may serve for seconds, so it is probed as well.
     */
    private void probeSilentEngines(
            Collection<ActiveRequest> activeRequests, List<SilentEngineDetector.StreamActivity> streams, long now) {
        for (BackendServerId id : SilentEngineDetector.findSuspects(streams, fleet.isLate(now), now)) {
            if (!fleet.suspectedServers().isLost(id, now)) {
                fleet.registry()
                        .server(id)
                        .or(() -> engineOnPath(activeRequests, id))
                        .ifPresent(engine -> engineControl.probe(
                                engine, router, fleet.lagMillis(), lastEventMillis(streams, id), now));
            }
        }
    }

    private static Optional<BackendServer> engineOnPath(Collection<ActiveRequest> activeRequests, BackendServerId id) {
        return activeRequests.stream()
                .flatMap(request -> Optional.ofNullable(request.attempt()).flatMap(Attempt::path).stream())
                .flatMap(path -> path.hop(id).stream())
                .map(Hop::server)
                .findFirst();
    }

    /** When the last event passed an engine. */
    private static long lastEventMillis(List<SilentEngineDetector.StreamActivity> streams, BackendServerId engine) {
        return streams.stream()
                .filter(stream -> stream.begun() && stream.engines().contains(engine))
                .mapToLong(SilentEngineDetector.StreamActivity::lastEventMillis)
                .max()
                .orElse(AsyncEngineControl.NO_EVENT);
    }

    private static List<SilentEngineDetector.StreamActivity> streams(Collection<ActiveRequest> activeRequests) {
        List<SilentEngineDetector.StreamActivity> streams = new ArrayList<>();
        for (ActiveRequest request : activeRequests) {
            if (request.attempt() != null && request.attempt().path().isPresent() && !request.isMoving()) {
                streams.add(stream(
                        request, request.attempt(), request.attempt().path().get()));
            }
        }
        return streams;
    }

    /**
     * Whether streams through an engine deliver events now, which shows that it is alive although it did not answer.
     */
    boolean isForwarding(Collection<ActiveRequest> activeRequests, BackendServerId engine, long now) {
        return SilentEngineDetector.hasRecentEvents(streams(activeRequests), engine, now);
    }

    private static SilentEngineDetector.StreamActivity stream(ActiveRequest request, Attempt attempt, StagePath path) {
        long lastEvent = request.exchange().lastEventMillis();
        return new SilentEngineDetector.StreamActivity(
                engines(path),
                Math.max(attempt.startMillis(), lastEvent),
                lastEvent > attempt.startMillis(),
                request.exchange().meanPauseMillis());
    }

    private void check(
            ActiveRequest request, Attempt attempt, StagePath path, Optional<RoutingConfig> config, long now) {
        boolean stalled = hasStalled(request, attempt, path, now);
        if (stalled && fleet.isLost(path.first().id(), now)) {
            attempt.cancel("its first engine is lost");
        } else if (stalled && overdueAttempts.canRestart(request, now)) {
            // A move order waits for the stalled engines, and is refused if their work has just ended.
            attempt.cancel("an engine of its path is lost");
        } else if (stalled) {
            moveOrCancel(request, attempt, path, config, now);
        } else if (canMoveOffLeavingEngine(path) && request.tryStartMove(now, MOVE_SPREAD_MILLIS, MOVE_PAUSE_MILLIS)) {
            // An engine that is shutting down continues to serve for seconds, so no stream is cancelled for it.
            findAlternativePath(request, path, config, now)
                    .ifPresent(stagePath -> move(request, attempt, path, stagePath, now));
        }
    }

    /**
     * Whether an engine of the path other than the first is shutting down. A stream cannot be moved off its first
     * engine: such orders name the same path again, change nothing and are refused in the end, when that engine accepts
     * no more connections. They were 166 of the 424 move orders in a run with planned shutdowns.
     */
    private boolean canMoveOffLeavingEngine(StagePath path) {
        return path.hops().stream()
                .skip(1)
                .anyMatch(hop -> fleet.isLeaving(hop.server().id()));
    }

    /** Whether an engine of the path is considered lost and no recent event contradicts it, read or still unread. */
    private boolean hasStalled(ActiveRequest request, Attempt attempt, StagePath path, long now) {
        return containsEngine(path, id -> fleet.isLost(id, now))
                && !stream(request, attempt, path).isActive(now)
                && !attempt.hasUnreadBytes();
    }

    /**
     * Handles a move order that was refused or not answered. An engine that is only shutting down continues to serve,
     * so the stream stays there unless it can be restarted at once. A restart pauses the stream for the time that its
     * prompt takes to read; waiting for the engine's exit pauses it for twice as long. A stream that is cancelled while
     * no retry is left is lost to its client: in runs with planned shutdowns alone, gateways cancelled up to 32 streams
     * this way, 4 of which found no retry.
     */
    void handleMoveFailure(ActiveRequest request, Attempt attempt, MoveFault refusal, long now) {
        PlatformFault.Kind kind = refusal.fault().kind();
        if (kind == PlatformFault.Kind.NO_ANSWER || kind == PlatformFault.Kind.NOT_LISTENING) {
            // The engine does not listen any more; further orders, four a second, would fail too.
            request.markNotMovable();
        }
        boolean stalled = attempt.path()
                .filter(path -> hasStalled(request, attempt, path, now))
                .isPresent();
        if (stalled && excludeRefusingEngine(request, refusal, now)) {
            return; // the next check searches for another path
        }
        if (stalled || overdueAttempts.canRestart(request, now)) {
            attempt.cancel("it cannot move to another path");
        }
    }

    /**
     * Excludes the engine that has refused a move from the paths of a stalled stream; true if the stream may move to
     * yet another path. When several engines die at the same time, the first path around one of them often leads
     * through another. Cancelling the stream instead would consume a retry, and all its engines would read the prompt
     * again.
     */
    private boolean excludeRefusingEngine(ActiveRequest request, MoveFault refusal, long now) {
        Optional<BackendServer> engine =
                refusal.refusedBy().flatMap(address -> fleet.serverAt(address, request.service()));
        if (engine.isEmpty() || request.moveCount() >= MAX_MOVES) {
            return false;
        }
        request.avoidedServers().add(engine.get().id());
        failureDetector.handleRefusedMove(engine.get(), now);
        return true;
    }

    private static boolean containsEngine(StagePath path, Predicate<BackendServerId> engines) {
        return path.hops().stream().anyMatch(hop -> engines.test(hop.server().id()));
    }

    private void moveOrCancel(
            ActiveRequest request, Attempt attempt, StagePath old, Optional<RoutingConfig> config, long now) {
        Optional<StagePath> path = findAlternativePath(request, old, config, now);
        if (path.isEmpty()) {
            attempt.cancel("an engine of its path is lost and there is no path without it");
        } else {
            move(request, attempt, old, path.get(), now);
        }
    }

    private void abandonMove(ActiveRequest request, Attempt attempt, long now) {
        request.endMove();
        log.line("route", "not moved")
                .with("id", request.exchange().request().id())
                .with("detail", NO_RESULT)
                .write();
        handleMoveFailure(request, attempt, NO_RESULT, now);
    }

    private void move(ActiveRequest request, Attempt attempt, StagePath old, StagePath path, long now) {
        request.startMove(path, now);
        if (!engineControl.move(attempt, path, router)) {
            request.endMove(); // the next check orders it again
        }
        log.line("route", "moves")
                .with("id", request.exchange().request().id())
                .with("from", old.text())
                .with("to", path.text())
                .write();
    }

    /**
     * A path without the engines that fail or shut down. It has the same first hop, because a running request cannot be
     * moved off its first engine.
     *
     * <p>The new engines read the whole request again. Between data centres, the transfer occupies the shared link many
     * times as long as all engines of another data centre need together, so a path with more crossings than the old one
     * is not used.
     */
    private Optional<StagePath> findAlternativePath(
            ActiveRequest request, StagePath old, Optional<RoutingConfig> config, long now) {
        Hop first = old.hops().get(0);
        List<BackendServer> usable = fleet.usableServers(request.service(), request.avoidedServers(), now);
        int prompt = request.exchange().request().head().promptTokens();
        PathFinder.Demand demand =
                new PathFinder.Demand(first.server().dataCentre(), prompt, request.expectedTokens(), Set.of());
        return config.flatMap(version -> version.service(request.service()))
                .flatMap(ServiceSpec::engine)
                .flatMap(spec -> fleet.doubtfulServers()
                        .searchWithout(
                                usable,
                                servers -> PathFinder.findAfter(first, spec, servers, fleet.loads(), demand),
                                now))
                .filter(path -> path.crossings() <= old.crossings());
    }
}
