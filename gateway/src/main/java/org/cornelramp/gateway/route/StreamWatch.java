package org.cornelramp.gateway.route;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.path.Hop;
import org.cornelramp.core.path.PathFinder;
import org.cornelramp.core.path.StagePath;
import org.cornelramp.core.routing.RoutingConfig;
import org.cornelramp.core.routing.ServiceSpec;
import org.cornelramp.gateway.log.EventLog;
import org.cornelramp.gateway.request.Attempt;

/**
 * Finds streams that have stopped, and moves them off dead engines.
 *
 * <p>An engine in the middle of a path that dies is on no connection of the gateway: the first engine only falls
 * silent, and cuts the stream off seconds later, when the client has left. So after a short silence the first engine
 * is asked which engine it waits for; that one is avoided, and running streams are moved to a path around it. Owned
 * by the router's duty.
 */
final class StreamWatch {
    /** Silence after which the first engine is asked: ten usual pauses between events. */
    private static final long SILENCE_MILLIS = 300;

    /** Silence before the first event after which it is asked; a prompt is usually read in half of it. */
    private static final long FIRST_SILENCE_MILLIS = 700;

    /** Least time between two tries to move one stream off an engine that leaves: its successor is loading. */
    private static final long MOVE_PAUSE_MILLIS = 250;

    /** Least time between two questions to one engine; its answer is some 200 ms old. */
    private static final long ASK_PAUSE_MILLIS = 250;

    /** Least time between two questions to an engine further on, which tells only how slow it is. */
    private static final long PACE_PAUSE_MILLIS = 1_500;

    private final Beliefs beliefs;
    private final EngineDesk desk;
    private final EventLog log;
    private final Consumer<RouterEvent> router;
    private final Map<BackendServerId, Long> asked = new HashMap<>();

    StreamWatch(Beliefs beliefs, EngineDesk desk, EventLog log, Consumer<RouterEvent> router) {
        this.beliefs = beliefs;
        this.desk = desk;
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
        asked.values().removeIf(at -> now - at > PACE_PAUSE_MILLIS);
    }

    private void check(Flight flight, Attempt attempt, StagePath path, Optional<RoutingConfig> config, long now) {
        if (beliefs.suspicions().isLost(path.first().id(), now)) {
            attempt.cancel("its first engine is lost");
        } else if (passes(path, id -> beliefs.suspicions().isLost(id, now))) {
            moveOrCancel(flight, attempt, path, config, now);
        } else if (passes(path, beliefs::isLeaving) && flight.mayMove(now, MOVE_PAUSE_MILLIS)) {
            // An engine that leaves serves on for seconds, so nothing is broken off for it.
            around(flight, path, config, now).ifPresent(way -> move(flight, attempt, path, way));
        } else if (isSilent(flight, attempt, now)) {
            path.hops().forEach(hop -> ask(hop.server(), hop.from() == 0 ? ASK_PAUSE_MILLIS : PACE_PAUSE_MILLIS, now));
        }
    }

    private static boolean passes(StagePath path, Predicate<BackendServerId> engines) {
        return path.hops().stream().anyMatch(hop -> engines.test(hop.server().id()));
    }

    private static boolean isSilent(Flight flight, Attempt attempt, long now) {
        long last = Math.max(attempt.startMillis(), flight.exchange().lastEventMillis());
        boolean started = flight.exchange().lastEventMillis() > attempt.startMillis();
        return now - last > (started ? SILENCE_MILLIS : FIRST_SILENCE_MILLIS);
    }

    private void ask(BackendServer engine, long pauseMillis, long now) {
        if (now - asked.getOrDefault(engine.id(), now - pauseMillis) >= pauseMillis && desk.ask(engine, router)) {
            asked.put(engine.id(), now);
        }
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
        List<BackendServer> usable = beliefs.usable(flight.service(), now).stream()
                .filter(server -> !beliefs.isLeaving(server.id()))
                .toList();
        int prompt = flight.exchange().call().head().promptTokens();
        PathFinder.Demand demand =
                new PathFinder.Demand(first.server().dataCentre(), prompt, flight.tokens(), Set.of());
        return config.flatMap(version -> version.service(flight.service()))
                .flatMap(ServiceSpec::engine)
                .flatMap(spec -> PathFinder.findAfter(first, spec, usable, beliefs.loads(), demand))
                .filter(path -> path.crossings() <= old.crossings());
    }
}
