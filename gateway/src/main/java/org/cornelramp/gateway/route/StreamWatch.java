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
import org.cornelramp.platform.StoreFault;

/**
 * Finds streams that have stopped, and moves them off dead engines.
 *
 * <p>An engine in the middle of a path that dies is on no connection of the gateway: the first engine only falls
 * silent, and cuts the stream off seconds later, when the client has left. So after a short silence the engines that may
 * be dead are asked; one that does not answer is avoided, and running streams are moved to a path around it. Owned by
 * the router's duty.
 */
final class StreamWatch {
    /** Least time between two tries to move one stream off an engine that leaves: its successor is loading. */
    private static final long MOVE_PAUSE_MILLIS = 250;

    /**
     * Streams leave an engine that leaves within this time, each at a moment of its own. All at once, thirty of them were
     * read anew by its successor and paused for 200 to 400 ms; and a stream that ends before its moment need not move.
     * The engine serves on for two seconds or more.
     */
    private static final long LEAVE_MILLIS = 1_400;

    /** Most tries to move a stream off a dead engine: each finds one more engine out that takes no part. */
    private static final int MOST_MOVES = 4;

    private final Beliefs beliefs;
    private final EngineDesk desk;
    private final ServerJudge judge;
    private final OverdueRuns overdue;
    private final EventLog log;
    private final Consumer<RouterEvent> router;

    /**
     * @param overdue tells which streams can be started anew at once
     */
    StreamWatch(
            Beliefs beliefs,
            EngineDesk desk,
            ServerJudge judge,
            OverdueRuns overdue,
            EventLog log,
            Consumer<RouterEvent> router) {
        this.beliefs = beliefs;
        this.desk = desk;
        this.judge = judge;
        this.overdue = overdue;
        this.log = log;
        this.router = router;
    }

    /** Looks at all streams under way. */
    void check(Collection<Flight> flights, Optional<RoutingConfig> config, long now) {
        for (Flight flight : flights) {
            Attempt attempt = flight.attempt();
            if (attempt == null || attempt.path().isEmpty() || flight.isMoving()) {
                continue;
            }
            check(flight, attempt, attempt.path().get(), config, now);
        }
        List<SilentEngineDetector.StreamActivity> streams = streams(flights);
        trustPassed(streams, now);
        askSilent(streams, now);
    }

    /** Ends doubts about engines that events have passed since. What a late process reads now may have been sent before. */
    private void trustPassed(List<SilentEngineDetector.StreamActivity> streams, long now) {
        if (beliefs.isLate(now) || !beliefs.suspicions().hasSilentSuspects(now)) {
            return;
        }
        streams.stream().filter(SilentEngineDetector.StreamActivity::begun).forEach(stream -> stream.engines()
                .forEach(id -> judge.passed(
                        id, stream.lastEventMillis() - SilentEngineDetector.MAX_DELAY_AFTER_DEATH_MILLIS, now)));
    }

    private static List<BackendServerId> engines(StagePath path) {
        return path.hops().stream().map(hop -> hop.server().id()).toList();
    }

    /** Asks the engines that may be dead, so that their streams go on elsewhere before their clients notice. */
    private void askSilent(List<SilentEngineDetector.StreamActivity> streams, long now) {
        for (BackendServerId id : SilentEngineDetector.findSuspects(streams, beliefs.isLate(now), now)) {
            if (!beliefs.suspicions().isLost(id, now)) {
                beliefs.registry()
                        .server(id)
                        .ifPresent(engine -> desk.askQuickly(engine, router, beliefs.lagMillis(), now));
            }
        }
    }

    private static List<SilentEngineDetector.StreamActivity> streams(Collection<Flight> flights) {
        List<SilentEngineDetector.StreamActivity> streams = new ArrayList<>();
        for (Flight flight : flights) {
            if (flight.attempt() != null && flight.attempt().path().isPresent() && !flight.isMoving()) {
                streams.add(
                        stream(flight, flight.attempt(), flight.attempt().path().get()));
            }
        }
        return streams;
    }

    /** Whether events pass an engine just now, so that it lives although it did not answer. */
    boolean isPassed(Collection<Flight> flights, BackendServerId engine, long now) {
        return SilentEngineDetector.hasRecentEvents(streams(flights), engine, now);
    }

    private static SilentEngineDetector.StreamActivity stream(Flight flight, Attempt attempt, StagePath path) {
        long lastEvent = flight.exchange().lastEventMillis();
        return new SilentEngineDetector.StreamActivity(
                engines(path),
                Math.max(attempt.startMillis(), lastEvent),
                lastEvent > attempt.startMillis(),
                flight.exchange().usualPauseMillis());
    }

    private void check(Flight flight, Attempt attempt, StagePath path, Optional<RoutingConfig> config, long now) {
        boolean stopped = hasStopped(flight, attempt, path, now);
        if (stopped && beliefs.isLost(path.first().id(), now)) {
            attempt.cancel("its first engine is lost");
        } else if (stopped && overdue.canRestart(flight, now)) {
            // A move waits for the engines that have stalled, and is refused when their work has just ended.
            attempt.cancel("an engine of its path is lost");
        } else if (stopped) {
            moveOrCancel(flight, attempt, path, config, now);
        } else if (canLeave(path) && flight.mayLeave(now, LEAVE_MILLIS, MOVE_PAUSE_MILLIS)) {
            // An engine that leaves serves on for seconds, so nothing is broken off for it.
            around(flight, path, config, now).ifPresent(way -> move(flight, attempt, path, way));
        }
    }

    /**
     * Whether an engine of the path leaves from which a stream can be moved. It cannot be moved off its first one: orders
     * that name the same path again, 166 of the 424 moves of a day of planned leaves, changed nothing and were refused in
     * the end, when that engine took no connection any more.
     */
    private boolean canLeave(StagePath path) {
        return path.hops().stream()
                .skip(1)
                .anyMatch(hop -> beliefs.isLeaving(hop.server().id()));
    }

    /** Whether an engine of the path is held to be lost, and no event says otherwise, read or not. */
    private boolean hasStopped(Flight flight, Attempt attempt, StagePath path, long now) {
        return passes(path, id -> beliefs.isLost(id, now))
                && !stream(flight, attempt, path).isActive(now)
                && !attempt.hasUnread();
    }

    /**
     * Takes that an order to move a stream was refused or not answered. An engine that only leaves serves on, so the
     * stream stays there unless it can be started anew at once: that pauses it for the time of reading its prompt, and
     * waiting for the engine's exit for twice as long. Cut without a repeat, the stream is lost to its client: on days of
     * planned leaves alone, gateways cut up to 32 streams so, 4 of which found no repeat.
     */
    void notMoved(Flight flight, Attempt attempt, MoveFault refusal, long now) {
        StoreFault.Kind kind = refusal.fault().kind();
        if (kind == StoreFault.Kind.NO_ANSWER || kind == StoreFault.Kind.NOT_LISTENING) {
            flight.stay(); // it listens no more, and would be asked in vain four times a second
        }
        boolean stopped = attempt.path()
                .filter(path -> hasStopped(flight, attempt, path, now))
                .isPresent();
        if (stopped && goesAround(flight, refusal, now)) {
            return; // the next look at it finds another way
        }
        if (stopped || overdue.canRestart(flight, now)) {
            attempt.cancel("it cannot move to another path");
        }
    }

    /**
     * Whether a stopped stream can move to yet another path, without the engine that has refused to take part. Several
     * engines die in the same moment, and the first way around one of them often leads through another. Cut for that, the
     * stream costs a repeat and all its engines read it anew.
     */
    private boolean goesAround(Flight flight, MoveFault refusal, long now) {
        Optional<BackendServer> engine = refusal.refusedBy().flatMap(address -> beliefs.at(address, flight.service()));
        if (engine.isEmpty() || flight.moves() >= MOST_MOVES) {
            return false;
        }
        flight.avoid().add(engine.get().id());
        judge.refusedPart(engine.get(), now);
        return true;
    }

    private static boolean passes(StagePath path, Predicate<BackendServerId> engines) {
        return path.hops().stream().anyMatch(hop -> engines.test(hop.server().id()));
    }

    private void moveOrCancel(Flight flight, Attempt attempt, StagePath old, Optional<RoutingConfig> config, long now) {
        Optional<StagePath> path = around(flight, old, config, now);
        if (path.isEmpty()) {
            attempt.cancel("an engine of its path is lost and there is no way around it");
        } else {
            move(flight, attempt, old, path.get());
        }
    }

    private void move(Flight flight, Attempt attempt, StagePath old, StagePath path) {
        flight.setMoving(desk.move(attempt, path, router));
        flight.countMove();
        log.line("route", "moves")
                .with("id", flight.exchange().call().id())
                .with("from", old.text())
                .with("to", path.text())
                .write();
    }

    /**
     * A path around the engines that fail or leave, with the same first hop, which an engine cannot give up for a
     * running request.
     *
     * <p>New engines read the whole request again. Between data centres that takes the shared pipe many times as long
     * as all engines of another data centre together, so a path that crosses more often is none.
     */
    private Optional<StagePath> around(Flight flight, StagePath old, Optional<RoutingConfig> config, long now) {
        Hop first = old.hops().get(0);
        List<BackendServer> usable = beliefs.usable(flight.service(), flight.avoid(), now);
        int prompt = flight.exchange().call().head().promptTokens();
        PathFinder.Demand demand =
                new PathFinder.Demand(first.server().dataCentre(), prompt, flight.tokens(), Set.of());
        return config.flatMap(version -> version.service(flight.service()))
                .flatMap(ServiceSpec::engine)
                .flatMap(spec -> PathFinder.findAfter(first, spec, usable, beliefs.loads(), demand))
                .filter(path -> path.crossings() <= old.crossings());
    }
}
