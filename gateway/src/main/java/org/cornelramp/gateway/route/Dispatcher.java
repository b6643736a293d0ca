package org.cornelramp.gateway.route;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BiConsumer;
import java.util.function.Function;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.path.PathFinder;
import org.cornelramp.core.path.PrefixAffinity;
import org.cornelramp.core.path.StagePath;
import org.cornelramp.core.retry.RequestServerLimit;
import org.cornelramp.core.routing.EngineSpec;
import org.cornelramp.core.routing.Route;
import org.cornelramp.core.routing.ServiceSpec;
import org.cornelramp.core.settings.GatewaySettings;
import org.cornelramp.gateway.SteadyClock;
import org.cornelramp.gateway.log.EventLog;
import org.cornelramp.gateway.request.Attempt;
import org.cornelramp.gateway.request.AttemptEnd;
import org.cornelramp.gateway.request.Exchange;
import org.cornelramp.platform.ForwardedHead;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpFields;

/**
 * Sends a request to the best backend server, and counts the load that this adds to engines and servers. Confined to
 * the router's thread.
 */
final class Dispatcher {
    /** Most servers that one log line names as the reason why a request is held back. */
    private static final int MAX_LOGGED_SERVERS = 4;

    private final GatewaySettings settings;
    private final Function<Route, HttpClient> clients;
    private final ConfigHolder config;
    private final FleetState fleet;
    private final PlainServerChooser plainServers;
    private final PromptPrefixUse promptPrefixes;
    private final PoisonGuard poisonGuard;
    private final SteadyClock clock;
    private final EventLog log;
    private final BiConsumer<Attempt, AttemptEnd> onEnd;

    /**
     * @param clients the HTTP client that sends the requests of a route
     * @param onEnd called once for each attempt when it has ended, on any thread
     */
    Dispatcher(
            GatewaySettings settings,
            Function<Route, HttpClient> clients,
            ConfigHolder config,
            FleetState fleet,
            PlainServerChooser plainServers,
            PromptPrefixUse promptPrefixes,
            PoisonGuard poisonGuard,
            SteadyClock clock,
            EventLog log,
            BiConsumer<Attempt, AttemptEnd> onEnd) {
        this.settings = settings;
        this.clients = clients;
        this.config = config;
        this.fleet = fleet;
        this.plainServers = plainServers;
        this.promptPrefixes = promptPrefixes;
        this.poisonGuard = poisonGuard;
        this.clock = clock;
        this.log = log;
        this.onEnd = onEnd;
    }

    /**
     * The server to which a request can be sent now. Immutable.
     *
     * @param server the server that receives the request
     * @param path the engines that run the request; empty for a plain service
     */
    record Target(BackendServer server, Optional<StagePath> path) {}

    /** Sends the request; false if no server can take it now. */
    boolean send(ActiveRequest request, long now) {
        Optional<Target> target = chooseTarget(request, now);
        target.ifPresent(selected -> send(request, selected, now));
        return target.isPresent();
    }

    /** Chooses a server of a plain service; empty if there is none, or if the request waits for a slot. */
    interface PlainChoice {
        Optional<BackendServer> choose(ActiveRequest request, Set<BackendServerId> excluded, long now);
    }

    /** Finds the best server for a request; empty if none can take it. */
    interface TargetSearch {
        Optional<Target> find(ActiveRequest request, long now);
    }

    /** Whether a request may be sent to a server now, as far as the crashes of servers under it decide that. */
    boolean maySend(ActiveRequest request, long now) {
        return poisonGuard.verdict(request, now) == PoisonGuard.Verdict.SEND;
    }

    /** The best server for a request now; empty if none can take it. */
    Optional<Target> chooseTarget(ActiveRequest request, long now) {
        if (!maySend(request, now)) {
            return Optional.empty();
        }
        Set<BackendServerId> closed = fleet.closedServers(request.service(), now);
        Optional<Target> target = findTarget(request, closed, plainServers::choose, now);
        if (!closed.isEmpty()) {
            logHeldBack(request, closed, target, now);
        }
        return target;
    }

    /**
     * The same without a log line. Changes no state but that of the request, if {@code plain} does not.
     *
     * @param plain chooses a server of a plain service
     */
    Optional<Target> previewTarget(ActiveRequest request, PlainChoice plain, long now) {
        return maySend(request, now)
                ? findTarget(request, fleet.closedServers(request.service(), now), plain, now)
                : Optional.empty();
    }

    private Optional<Target> findTarget(
            ActiveRequest request, Set<BackendServerId> closed, PlainChoice plain, long now) {
        return poisonGuard.isSuspect(request, now)
                ? chooseApart(request, closed, plain, now)
                : choose(request, closed, plain, now);
    }

    /**
     * The paths that a search finds one after another, each without the first engines of those before; the first is the
     * one for which {@link #chooseTarget} decides, unless the request must run apart from others.
     *
     * @param max maximum number of paths, each of which costs a search
     */
    List<StagePath> bestPaths(ActiveRequest request, EngineSpec spec, int max, long now) {
        Set<BackendServerId> excluded = new HashSet<>(fleet.closedServers(request.service(), now));
        List<StagePath> paths = new ArrayList<>();
        Optional<StagePath> path = findPath(request, spec, excluded, now);
        while (path.isPresent() && paths.size() < max) {
            paths.add(path.get());
            excluded.add(path.get().first().id());
            path = paths.size() < max ? findPath(request, spec, excluded, now) : Optional.empty();
        }
        return paths;
    }

    private Optional<Target> choose(ActiveRequest request, Set<BackendServerId> closed, PlainChoice plain, long now) {
        Optional<EngineSpec> engine = engineSpec(request);
        if (engine.isEmpty()) {
            return plain.choose(request, closed, now).map(server -> new Target(server, Optional.empty()));
        }
        request.setDefaultTokens(engine.get().meanRequestTokens());
        return findPath(request, engine.get(), closed, now)
                .map(stagePath -> new Target(stagePath.first(), Optional.of(stagePath)));
    }

    /** The best server for a suspect on which it starts apart from other suspects. */
    private Optional<Target> chooseApart(
            ActiveRequest request, Set<BackendServerId> closed, PlainChoice plain, long now) {
        List<BackendServer> servers = fleet.startServers(request.service());
        for (BackendServer server : poisonGuard.serversFor(request, servers, now)) {
            Set<BackendServerId> others = new HashSet<>(closed);
            servers.stream()
                    .map(BackendServer::id)
                    .filter(id -> !id.equals(server.id()))
                    .forEach(others::add);
            Optional<Target> target = choose(request, others, plain, now);
            if (target.isPresent()) {
                return target;
            }
        }
        return Optional.empty();
    }

    /**
     * Sends the request to a server that {@link #chooseTarget} has just returned, or to one that is better because its
     * path holds the beginning of the prompt. Admission has judged the former. If the request cannot be sent, the attempt
     * ends like any other.
     *
     * @return the server to which it was sent
     */
    Target send(ActiveRequest request, Target found, long now) {
        Target target = preferHolders(request, found, now);
        FirstEnd ends = new FirstEnd(onEnd);
        fleet.rateLimits().recordSent(target.server().id());
        Attempt attempt = createAttempt(request, target, ends, now);
        request.startAttempt(attempt);
        target.path().ifPresentOrElse(stagePath -> addLoadWithPrompt(request, stagePath), () -> fleet.plainStats()
                .requestSent(target.server().id(), now));
        logSent(request, target);
        try {
            attempt.start(now);
        } catch (RuntimeException e) {
            if (request.exchange().isCommitted()) {
                request.delaySearch(now); // otherwise all its attempts would fail within one millisecond
            }
            endUnstarted(attempt, ends, e);
        }
        return target;
    }

    private Target preferHolders(ActiveRequest request, Target found, long now) {
        Optional<PrefixAffinity.Choice> choice = holderChoice(request, found, now);
        choice.ifPresent(made -> promptPrefixes.logUse(request, found.path().orElseThrow(), made, now));
        return choice.map(PrefixAffinity.Choice::path)
                .map(path -> new Target(path.first(), Optional.of(path)))
                .orElse(found);
    }

    /**
     * The choice between the path of a target and one whose engines hold the beginning of the prompt; empty if the request
     * does not take part. Changes no state.
     */
    Optional<PrefixAffinity.Choice> holderChoice(ActiveRequest request, Target found, long now) {
        Optional<EngineSpec> spec = engineSpec(request);
        if (found.path().isEmpty() || spec.isEmpty() || fleet.promptHolders().isEmpty()) {
            return Optional.empty();
        }
        Set<BackendServerId> closed = fleet.closedServers(request.service(), now);
        List<BackendServer> usable = fleet.doubtfulServers()
                .without(fleet.usableServers(request.service(), request.avoidedServers(), now), now);
        return promptPrefixes.choose(request, found.path().get(), spec.get(), usable, demand(request, closed), now);
    }

    private void addLoadWithPrompt(ActiveRequest request, StagePath stagePath) {
        int prompt = request.exchange().request().head().promptTokens();
        addLoad(request, stagePath);
        request.setUnreadPromptTokens(prompt);
        fleet.loads().addPendingPromptTokens(stagePath, prompt);
    }

    /**
     * Whether engines have room for the request now, in addition to their present load, which includes this request.
     */
    boolean hasPath(ActiveRequest request, long now) {
        if (!maySend(request, now)) {
            return false;
        }
        Set<BackendServerId> closed = fleet.closedServers(request.service(), now);
        return engineSpec(request)
                .flatMap(spec -> findPath(request, spec, closed, now))
                .isPresent();
    }

    /** Size and speed of the engines of a request's service; empty for a plain service. */
    Optional<EngineSpec> engineSpec(ActiveRequest request) {
        return config.current()
                .flatMap(version -> version.service(request.service()))
                .flatMap(ServiceSpec::engine);
    }

    private Optional<StagePath> findPath(
            ActiveRequest request, EngineSpec spec, Set<BackendServerId> closed, long now) {
        List<BackendServer> usable = fleet.usableServers(request.service(), request.avoidedServers(), now);
        PathFinder.Demand demand = demand(request, closed);
        return fleet.doubtfulServers()
                .searchWithout(usable, servers -> PathFinder.find(spec, servers, fleet.loads(), demand), now);
    }

    private PathFinder.Demand demand(ActiveRequest request, Set<BackendServerId> closed) {
        int prompt = request.exchange().request().head().promptTokens();
        return new PathFinder.Demand(
                        settings.dataCentre(), prompt, request.expectedTokens(), allowedFirstEngines(request))
                .withExcludedFirstEngines(closed)
                .withReservedRequests(request.exchange().isCommitted() ? 0 : request.reservedRequests());
    }

    private Set<BackendServerId> allowedFirstEngines(ActiveRequest request) {
        return RequestServerLimit.allowedServers(
                request.usedFirstEngines(),
                id -> fleet.registry().server(id).isPresent(),
                request.route().maxAttempts());
    }

    /**
     * Whether fewer engines can take the request than a new one: some have failed it, its route lets it run on no others,
     * or it runs apart from other requests. Another request may then find a path although this one does not.
     */
    boolean isRestricted(ActiveRequest request, long now) {
        return !allowedFirstEngines(request).isEmpty()
                || !maySend(request, now)
                || poisonGuard.isSuspect(request, now)
                || (!request.avoidedServers().isEmpty()
                        && fleet.usableServers(request.service(), now).stream()
                                .anyMatch(server -> request.avoidedServers().contains(server.id())));
    }

    /** Counts the load of the request on the engines of a path instead of those of its previous path. */
    void addLoad(ActiveRequest request, StagePath path) {
        removeLoad(request);
        fleet.loads().add(path, request.expectedTokens());
        request.setLoadedPath(path);
    }

    /** Records that the engines have read the prompt. */
    void recordPromptRead(ActiveRequest request) {
        if (request.unreadPromptTokens() != 0) {
            fleet.loads().addPendingPromptTokens(request.loadedPath(), -request.unreadPromptTokens());
            request.setUnreadPromptTokens(0);
        }
    }

    /** Records that the first events of a run have arrived, so that the engines of its path hold its prompt. */
    void recordFirstEvent(ActiveRequest request, long now) {
        recordPromptRead(request);
        promptPrefixes.recordRead(request, now);
    }

    /** Removes the load of the request from the engines. */
    void removeLoad(ActiveRequest request) {
        promptPrefixes.release(request);
        if (request.loadedPath() != null) {
            recordPromptRead(request);
            fleet.loads().remove(request.loadedPath(), request.expectedTokens());
            request.setLoadedPath(null);
        }
    }

    /** Whether a server other than the given one can take a request to a plain service now. */
    boolean hasAlternativeServer(ActiveRequest request, BackendServer server, long now) {
        Set<BackendServerId> excluded = new HashSet<>(fleet.closedServers(request.service(), now));
        excluded.add(server.id());
        return maySend(request, now) && plainServers.hasServer(request, excluded, now);
    }

    private Attempt createAttempt(ActiveRequest request, Target target, FirstEnd ends, long now) {
        Exchange exchange = request.exchange();
        Exchange.ClientRequest call = exchange.request();
        ForwardedHead head = new ForwardedHead(
                target.server().name(),
                call.deadlineMillis() - now,
                call.organisation(),
                target.path(),
                target.path().map(stagePath -> call.priority()),
                exchange.lastEventId());
        return new Attempt(clients.apply(request.route()), exchange, target.server(), head, clock, ends);
    }

    private void logHeldBack(ActiveRequest request, Set<BackendServerId> closed, Optional<Target> target, long now) {
        log.routine("route", "held back")
                .with("id", request.exchange().request().id())
                .with(
                        "by",
                        closed.stream()
                                .limit(MAX_LOGGED_SERVERS)
                                .map(server -> describeClosed(server, now))
                                .toList())
                .with("closed", closed.size())
                .with(
                        "opensInMillis",
                        fleet.millisUntilOpen(request.service(), now).orElse(-1))
                .with(
                        "instead",
                        target.map(selected -> selected.server().id().value()).orElse(""))
                .write();
    }

    private String describeClosed(BackendServerId id, long now) {
        long restMillis = fleet.restingServers().millisUntilEnd(id, now);
        if (restMillis > 0) {
            return id.value() + "=rest " + restMillis;
        }
        double limit = fleet.rateLimits().limit(id).orElse(0.0);
        return id.value() + "=" + limit + "/" + fleet.rateLimits().sharerCount(id);
    }

    private void logSent(ActiveRequest request, Target target) {
        Optional<StagePath> path = target.path();
        Exchange exchange = request.exchange();
        log.routine("route", "sent")
                .with("id", exchange.request().id())
                .with("server", target.server().id())
                .with("attempt", request.attemptCount())
                .with("path", path.map(StagePath::text).orElse(""))
                .with(
                        "tokenMicros",
                        path.map(stagePath -> Math.round(stagePath.tokenMillis() * 1_000))
                                .orElse(0L))
                .with("crossings", fleet.loads().crossings())
                .with("lastEvent", exchange.lastEventId().orElse(-1L))
                .with(
                        "configVersion",
                        config.current().map(version -> version.version()).orElse(-1L))
                .write();
    }

    /**
     * Ends an attempt whose start has thrown an exception. How much was sent is not known, so the request may have run.
     * The cancellation keeps its server from being suspected.
     */
    private static void endUnstarted(Attempt attempt, FirstEnd ends, RuntimeException failure) {
        String detail = "the request could not be sent: " + failure;
        AttemptEnd end =
                new AttemptEnd(AttemptEnd.Kind.BROKEN, 0, HttpFields.EMPTY, new byte[0], Optional.empty(), detail);
        try {
            attempt.cancel(detail);
        } finally {
            ends.accept(attempt, end);
        }
    }

    /**
     * Passes on the first end of an attempt only, as the HTTP library may report the end of a request that it could not
     * send. Safe for use by any thread.
     */
    private static final class FirstEnd implements BiConsumer<Attempt, AttemptEnd> {
        private final BiConsumer<Attempt, AttemptEnd> onEnd;
        private final AtomicBoolean ended = new AtomicBoolean();

        FirstEnd(BiConsumer<Attempt, AttemptEnd> onEnd) {
            this.onEnd = onEnd;
        }

        @Override
        public void accept(Attempt attempt, AttemptEnd end) {
            if (ended.compareAndSet(false, true)) {
                onEnd.accept(attempt, end);
            }
        }
    }
}
