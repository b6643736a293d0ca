package org.cornelramp.gateway.route;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.path.PathFinder;
import org.cornelramp.core.path.StagePath;
import org.cornelramp.core.retry.RequestServerLimit;
import org.cornelramp.core.routing.EngineSpec;
import org.cornelramp.core.routing.ServiceSpec;
import org.cornelramp.core.settings.GatewaySettings;
import org.cornelramp.gateway.HttpClients;
import org.cornelramp.gateway.SteadyClock;
import org.cornelramp.gateway.log.EventLog;
import org.cornelramp.gateway.request.Attempt;
import org.cornelramp.gateway.request.AttemptEnd;
import org.cornelramp.gateway.request.Exchange;
import org.cornelramp.platform.ForwardHead;
import org.eclipse.jetty.client.HttpClient;

/**
 * Sends a request to the best backend server, and keeps count of what that puts on engines and servers. Owned by the
 * router's duty.
 */
final class Dispatcher {
    private final GatewaySettings settings;
    private final HttpClients clients;
    private final ConfigHolder config;
    private final Beliefs beliefs;
    private final SteadyClock clock;
    private final EventLog log;
    private final BiConsumer<Attempt, AttemptEnd> onEnd;

    /** @param onEnd called once for each attempt, by any thread, when it has ended */
    Dispatcher(
            GatewaySettings settings,
            HttpClients clients,
            ConfigHolder config,
            Beliefs beliefs,
            SteadyClock clock,
            EventLog log,
            BiConsumer<Attempt, AttemptEnd> onEnd) {
        this.settings = settings;
        this.clients = clients;
        this.config = config;
        this.beliefs = beliefs;
        this.clock = clock;
        this.log = log;
        this.onEnd = onEnd;
    }

    /**
     * Where a request would go now. Immutable.
     *
     * @param server what it would be sent to
     * @param path the engines that would run it; empty for a plain service
     */
    record Choice(BackendServer server, Optional<StagePath> path) {}

    /** Sends the request; false if no server can take it now. */
    boolean send(Flight flight, long now) {
        Optional<Choice> choice = choose(flight, now);
        choice.ifPresent(chosen -> send(flight, chosen, now));
        return choice.isPresent();
    }

    /** The best server for a request now; empty if none can take it. */
    Optional<Choice> choose(Flight flight, long now) {
        Optional<EngineSpec> engine = engine(flight);
        if (engine.isEmpty()) {
            return beliefs.plain()
                    .choose(beliefs.usable(flight.service(), now), flight.avoid(), settings.dataCentre())
                    .map(server -> new Choice(server, Optional.empty()));
        }
        flight.expectTokens(engine.get().meanRequestTokens());
        return path(flight, engine.get(), now).map(way -> new Choice(way.first(), Optional.of(way)));
    }

    /** Sends the request to a server that was chosen just now. */
    void send(Flight flight, Choice choice, long now) {
        choice.path().ifPresentOrElse(way -> loadPrompt(flight, way), () -> beliefs.plain()
                .requestSent(choice.server().id()));
        begin(flight, choice.server(), choice.path(), now);
    }

    private void loadPrompt(Flight flight, StagePath way) {
        int prompt = flight.exchange().call().head().promptTokens();
        load(flight, way);
        flight.setReading(prompt);
        beliefs.loads().addPendingPromptTokens(way, prompt);
    }

    /** Whether engines could take the request now beside all that they have, itself included. */
    boolean hasPath(Flight flight, long now) {
        return engine(flight).flatMap(spec -> path(flight, spec, now)).isPresent();
    }

    private Optional<EngineSpec> engine(Flight flight) {
        return config.current()
                .flatMap(version -> version.service(flight.service()))
                .flatMap(ServiceSpec::engine);
    }

    private Optional<StagePath> path(Flight flight, EngineSpec spec, long now) {
        int prompt = flight.exchange().call().head().promptTokens();
        PathFinder.Demand demand =
                new PathFinder.Demand(settings.dataCentre(), prompt, flight.tokens(), allowedFirsts(flight));
        List<BackendServer> usable = beliefs.usable(flight.service(), flight.avoid(), now);
        return PathFinder.find(spec, usable, beliefs.loads(), demand);
    }

    private Set<BackendServerId> allowedFirsts(Flight flight) {
        return RequestServerLimit.allowedServers(
                flight.firsts(),
                id -> beliefs.registry().server(id).isPresent(),
                flight.route().maxAttempts());
    }

    /** Counts the request on the engines of a path, and no longer on those of another. */
    void load(Flight flight, StagePath path) {
        unload(flight);
        beliefs.loads().add(path, flight.tokens());
        flight.setLoaded(path);
    }

    /** Notes that the engines have read the prompt. */
    void promptRead(Flight flight) {
        if (flight.reading() != 0) {
            beliefs.loads().addPendingPromptTokens(flight.loaded(), -flight.reading());
            flight.setReading(0);
        }
    }

    /** Counts the request on no engine any more. */
    void unload(Flight flight) {
        if (flight.loaded() != null) {
            promptRead(flight);
            beliefs.loads().remove(flight.loaded(), flight.tokens());
            flight.setLoaded(null);
        }
    }

    /** Whether another server than the given one could take a request to a plain service now. */
    boolean hasAnother(Flight flight, BackendServer server, long now) {
        Set<BackendServerId> avoid = new HashSet<>(flight.avoid());
        avoid.add(server.id());
        return beliefs.plain()
                .choose(beliefs.usable(flight.service(), now), avoid, settings.dataCentre())
                .isPresent();
    }

    private void begin(Flight flight, BackendServer server, Optional<StagePath> path, long now) {
        Exchange exchange = flight.exchange();
        Exchange.Call call = exchange.call();
        ForwardHead head = new ForwardHead(
                server.name(),
                call.deadlineMillis() - now,
                call.organisation(),
                path,
                path.map(way -> call.priority()),
                exchange.lastEvent());
        // A request that may not be repeated must not meet a kept connection that its server is just closing.
        HttpClient http = flight.route().mayRepeat() ? clients.pooled() : clients.single();
        Attempt attempt = new Attempt(http, exchange, server, head, clock, onEnd);
        flight.begin(attempt);
        log.ordinary("route", "sent")
                .with("id", call.id())
                .with("server", server.id())
                .with("attempt", flight.sent())
                .with("path", path.map(StagePath::text).orElse(""))
                .with(
                        "tokenMicros",
                        path.map(way -> Math.round(way.tokenMillis() * 1_000)).orElse(0L))
                .with("crossings", beliefs.loads().crossings())
                .with("lastEvent", exchange.lastEvent().orElse(-1L))
                .with(
                        "configVersion",
                        config.current().map(version -> version.version()).orElse(-1L))
                .write();
        attempt.start(now);
    }
}
