package org.cornelramp.gateway.route;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.routing.ServiceSpec;

/**
 * Asks backend servers for signs of life. Confined to the router's thread.
 *
 * <p>Invariant: one question a server is pending at a time, so a server that answers late holds one call at most.
 */
final class LifeQuestions {
    private final FleetState fleet;
    private final ConfigHolder config;
    private final AsyncEngineControl engineControl;
    private final Consumer<RouterEvent> router;
    private final Set<BackendServerId> pending = new HashSet<>();
    private long count;

    /** @param router receives the results as events */
    LifeQuestions(
            FleetState fleet, ConfigHolder config, AsyncEngineControl engineControl, Consumer<RouterEvent> router) {
        this.fleet = fleet;
        this.config = config;
        this.engineControl = engineControl;
        this.router = router;
    }

    /** Number of questions so far, which is the number of the last one. */
    long count() {
        return count;
    }

    /** Whether there is a way to ask the server: an engine has a report, a plain server a configured health path. */
    boolean canAsk(BackendServer server) {
        return !server.card().isEmpty() || !healthPath(server).isEmpty();
    }

    /** Asks a server, unless a question to it is pending or too many calls are queued. */
    void ask(BackendServer server) {
        if (!pending.contains(server.id())
                && canAsk(server)
                && engineControl.askForLife(server, healthPath(server), count + 1, router, fleet.lagMillis())) {
            pending.add(server.id());
            count++;
        }
    }

    /** Records that the result of a question has come. */
    void handleResult(RouterEvent.LifeAsked result) {
        pending.remove(result.server().id());
    }

    private String healthPath(BackendServer server) {
        return config.current()
                .flatMap(version -> version.service(server.service()))
                .map(ServiceSpec::healthPath)
                .orElse("");
    }
}
