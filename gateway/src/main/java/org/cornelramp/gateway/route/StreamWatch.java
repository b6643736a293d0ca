package org.cornelramp.gateway.route;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.path.Hop;
import org.cornelramp.core.path.PathFinder;
import org.cornelramp.core.path.StagePath;
import org.cornelramp.core.routing.EngineSpec;
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

    /** Least time between two questions to one engine; its answer is some 200 ms old. */
    private static final long ASK_PAUSE_MILLIS = 250;

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
            StagePath path = attempt.path().get();
            if (beliefs.suspicions().isSuspect(path.first().id(), now)) {
                attempt.cancel("its first engine is suspected");
            } else if (path.hops().stream()
                    .anyMatch(hop ->
                            beliefs.suspicions().isSuspect(hop.server().id(), now))) {
                move(flight, attempt, path, config, now);
            } else if (isSilent(flight, attempt, now)) {
                ask(path.first(), now);
            }
        }
        asked.values().removeIf(at -> now - at > 10 * ASK_PAUSE_MILLIS);
    }

    private static boolean isSilent(Flight flight, Attempt attempt, long now) {
        long last = Math.max(attempt.startMillis(), flight.exchange().lastEventMillis());
        boolean started = flight.exchange().lastEventMillis() > attempt.startMillis();
        return now - last > (started ? SILENCE_MILLIS : FIRST_SILENCE_MILLIS);
    }

    private void ask(BackendServer first, long now) {
        if (now - asked.getOrDefault(first.id(), now - ASK_PAUSE_MILLIS) >= ASK_PAUSE_MILLIS
                && desk.ask(first, router)) {
            asked.put(first.id(), now);
        }
    }

    private void move(Flight flight, Attempt attempt, StagePath old, Optional<RoutingConfig> config, long now) {
        Optional<StagePath> path = config.flatMap(version -> version.service(flight.service()))
                .flatMap(ServiceSpec::engine)
                .flatMap(spec -> around(flight, spec, old, now));
        if (path.isEmpty()) {
            attempt.cancel("an engine of its path is suspected and there is no way around");
            return;
        }
        flight.setMoving(desk.move(attempt, path.get(), router));
        log.line("route", "moves")
                .with("id", flight.exchange().call().id())
                .with("from", old.text())
                .with("to", path.get().text())
                .write();
    }

    /** A path with the same first hop, which an engine cannot give up for a running request. */
    private Optional<StagePath> around(Flight flight, EngineSpec spec, StagePath old, long now) {
        Hop first = old.hops().get(0);
        List<BackendServer> usable = beliefs.usable(flight.service(), now);
        int prompt = flight.exchange().call().head().promptTokens();
        PathFinder.Demand demand =
                new PathFinder.Demand(first.server().dataCentre(), prompt, flight.tokens());
        return PathFinder.findAfter(first, spec, usable, beliefs.loads(), demand);
    }
}
