package org.cornelramp.gateway.route;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.operate.RouteExplanation;
import org.cornelramp.core.operate.RouteExplanation.Candidate;
import org.cornelramp.core.path.EngineLoads;
import org.cornelramp.core.path.PathFinder;
import org.cornelramp.core.path.PrefixAffinity;
import org.cornelramp.core.path.StagePath;
import org.cornelramp.core.routing.EngineSpec;

/**
 * Lists the servers that were considered for a request that an operator asks about. Changes no state but that of the
 * request. Confined to the router's thread.
 */
final class RouteCandidates {
    /** Draws by which the chance of a server is estimated; the standard error is at most 0.05. */
    private static final int DRAWS = 100;

    /** Seed of the draws; it is constant, so that the same state gives the same answer. */
    private static final long SEED = 1;

    private final FleetState fleet;
    private final Dispatcher dispatcher;
    private final PlainServerChooser plainServers;

    RouteCandidates(FleetState fleet, Dispatcher dispatcher, PlainServerChooser plainServers) {
        this.fleet = fleet;
        this.dispatcher = dispatcher;
        this.plainServers = plainServers;
    }

    /** The server of a plain service that is chosen with the greatest chance. */
    Optional<BackendServer> choosePlain(ActiveRequest request, Set<BackendServerId> excluded, long now) {
        List<PlainServerChooser.Choice> choices = draw(request, excluded, now);
        choices.get(0).applyTo(request, now);
        Map<BackendServerId, Long> counts = counts(choices);
        return choices.stream()
                .flatMap(choice -> choice.server().stream())
                .max(Comparator.<BackendServer>comparingLong(server -> counts.get(server.id()))
                        .thenComparing(BackendServer::id));
    }

    /** Whether a part of the choice of a plain server is random. */
    boolean isRandom(ActiveRequest request, long now) {
        return plainServers
                .decide(request, Set.of(), new SplittableRandom(SEED), now)
                .shared();
    }

    /** Decides several times if a part of the decision is random, and else once. */
    private List<PlainServerChooser.Choice> draw(ActiveRequest request, Set<BackendServerId> excluded, long now) {
        SplittableRandom random = new SplittableRandom(SEED);
        List<PlainServerChooser.Choice> choices = new ArrayList<>();
        do {
            choices.add(plainServers.decide(request, excluded, random, now));
        } while (choices.get(0).shared() && choices.size() < DRAWS);
        return choices;
    }

    private static Map<BackendServerId, Long> counts(List<PlainServerChooser.Choice> choices) {
        return choices.stream()
                .flatMap(choice -> choice.server().stream())
                .collect(Collectors.groupingBy(BackendServer::id, TreeMap::new, Collectors.counting()));
    }

    /**
     * The servers that can take the request, the cheapest first but paths with a doubtful engine last, and then those that
     * can't.
     */
    List<Candidate> list(ActiveRequest request, Optional<PrefixAffinity.Choice> holder, long now) {
        List<Candidate> candidates = dispatcher
                .engineSpec(request)
                .map(spec -> engines(request, spec, holder, now))
                .orElseGet(() -> plain(request, now));
        Set<String> listed = candidates.stream().map(Candidate::server).collect(Collectors.toSet());
        Set<BackendServerId> closed = fleet.closedServers(request.service(), now);
        fleet.registry().servers().stream()
                .filter(server -> server.service().equals(request.service()))
                .filter(server -> server.card().isEmpty() || server.holds(0))
                .filter(server -> !listed.contains(server.id().value()))
                .sorted(Comparator.comparing(BackendServer::id))
                .map(server -> candidate(server, "", Optional.empty(), Optional.empty(), whyNot(server, closed, now)))
                .forEach(candidates::add);
        return candidates;
    }

    private String whyNot(BackendServer server, Set<BackendServerId> closed, long now) {
        if (fleet.isLeaving(server.id())) {
            return "it is shutting down";
        }
        if (fleet.isSuspect(server.id(), now)) {
            return "it has failed recently";
        }
        if (closed.contains(server.id())) {
            return "it takes no more requests of this gateway now";
        }
        if (!server.card().isEmpty() && fleet.doubtfulServers().isDoubtful(server.id(), now)) {
            return "it has broken a connection, and paths without it are preferred";
        }
        return server.card().isEmpty()
                ? "it is known to be full"
                : "no path from it has a slot and memory, or it is not among the best";
    }

    private List<Candidate> engines(
            ActiveRequest request, EngineSpec spec, Optional<PrefixAffinity.Choice> holder, long now) {
        List<StagePath> paths = new ArrayList<>();
        holder.map(PrefixAffinity.Choice::path).ifPresent(paths::add);
        dispatcher.bestPaths(request, spec, RouteExplanation.MAX_CANDIDATES, now).stream()
                .filter(path -> paths.stream()
                        .noneMatch(listed ->
                                listed.first().id().equals(path.first().id())))
                .forEach(paths::add);
        return paths.stream()
                .map(path -> candidate(
                        path.first(),
                        path.text(),
                        Optional.of(PathFinder.cost(path)),
                        Optional.empty(),
                        load(path.first()) + doubt(path, now)))
                .collect(Collectors.toCollection(ArrayList::new));
    }

    private String load(BackendServer engine) {
        EngineLoads.Load load = fleet.loads().load(engine.id());
        return "requests %d, as first engine %d of %d, takes %s times as long as usual"
                .formatted(
                        load.requests(),
                        load.asFirstEngine(),
                        engine.slots(),
                        RouteExplainer.rounded(fleet.loads().slowdown(engine.id())));
    }

    private String doubt(StagePath path, long now) {
        boolean doubted = path.hops().stream()
                .anyMatch(hop -> fleet.doubtfulServers().isDoubtful(hop.server().id(), now));
        return doubted ? ", used only without another path, as an engine has broken a connection" : "";
    }

    private List<Candidate> plain(ActiveRequest request, long now) {
        Set<BackendServerId> closed = fleet.closedServers(request.service(), now);
        Map<BackendServerId, Double> costs = plainServers.costs(request, closed, now);
        List<PlainServerChooser.Choice> choices = draw(request, closed, now);
        Map<BackendServerId, Long> counts = counts(choices);
        return fleet.usableServers(request.service(), now).stream()
                .filter(server -> costs.containsKey(server.id()))
                .sorted(Comparator.<BackendServer>comparingDouble(server -> costs.get(server.id()))
                        .thenComparing(BackendServer::id))
                .map(server -> candidate(
                        server,
                        "",
                        Optional.of(costs.get(server.id())),
                        choices.size() == 1
                                ? Optional.empty()
                                : Optional.of(counts.getOrDefault(server.id(), 0L) / (double) DRAWS),
                        "requests of this gateway %d, of its peers %d, slots %d"
                                .formatted(
                                        fleet.plainStats().inFlight(server.id()),
                                        fleet.plainPeersInFlight(server.id()),
                                        server.slots())))
                .collect(Collectors.toCollection(ArrayList::new));
    }

    private static Candidate candidate(
            BackendServer server, String path, Optional<Double> cost, Optional<Double> chance, String note) {
        return new Candidate(
                server.id().value(),
                server.dataCentre().value(),
                path,
                cost.map(RouteExplainer::rounded),
                chance,
                note);
    }
}
