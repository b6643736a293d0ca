package org.cornelramp.core.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.TreeSet;
import org.cornelramp.core.model.OrganisationId;
import org.cornelramp.core.model.ServiceName;

/**
 * One version of the routing configuration. Immutable, safe for use by any thread.
 *
 * <p>Invariant: the routes of a host are tried longest prefix first, so the first match is the right one.
 */
public final class RoutingConfig {
    private final long version;
    private final Map<String, List<Route>> routesByHost;
    private final Map<ServiceName, ServiceSpec> services;
    private final Map<String, Organisation> organisationsByKey;
    private final boolean keysRequired;
    private final ClientLimits limits;
    private final Map<ServiceName, NavigableSet<Integer>> prioritiesByService = new HashMap<>();

    /**
     * The organisation that a key identifies. Immutable, safe for use by any thread.
     *
     * @param id its name
     * @param priority priority of its requests; overrides that of the route where present
     */
    public record Organisation(OrganisationId id, Optional<Integer> priority) {}

    /**
     * @param version version that operators assigned; versions only increase
     * @param organisationsByKey the organisation of each key; empty where the deployment has no organisations
     * @param keysRequired whether the deployment uses keys; if not, no request needs one
     */
    public RoutingConfig(
            long version,
            Collection<Route> routes,
            Collection<ServiceSpec> services,
            Map<String, Organisation> organisationsByKey,
            boolean keysRequired,
            ClientLimits limits) {
        this.version = version;
        this.routesByHost = new HashMap<>();
        routes.stream()
                .sorted(Comparator.comparingInt(
                        (Route route) -> -route.pathPrefix().length()))
                .forEach(route -> routesByHost
                        .computeIfAbsent(route.host(), host -> new ArrayList<>())
                        .add(route));
        this.services = new HashMap<>();
        services.forEach(service -> this.services.put(service.name(), service));
        this.organisationsByKey = Map.copyOf(organisationsByKey);
        this.keysRequired = keysRequired;
        this.limits = limits;
        routes.stream().filter(route -> route.kind() == RouteKind.STREAMING).forEach(this::addPriorities);
    }

    private void addPriorities(Route route) {
        for (WeightedService weighted : route.split()) {
            NavigableSet<Integer> priorities =
                    prioritiesByService.computeIfAbsent(weighted.service(), service -> new TreeSet<>());
            priorities.add(route.priority());
        }
    }

    public long version() {
        return version;
    }

    /** Limits on client requests. */
    public ClientLimits limits() {
        return limits;
    }

    public Collection<ServiceSpec> services() {
        return services.values();
    }

    /** Number of routes, for logs. */
    public int routeCount() {
        return routesByHost.values().stream().mapToInt(List::size).sum();
    }

    /** The service with a given name. */
    public Optional<ServiceSpec> service(ServiceName name) {
        return Optional.ofNullable(services.get(name));
    }

    /** The route with the longest prefix of the path among those of the host. */
    public Optional<Route> route(String host, String path) {
        return routesByHost.getOrDefault(host, List.of()).stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .findFirst();
    }

    /** The routes with a name; operators may give several the same one. */
    public List<Route> routesNamed(String name) {
        return routesByHost.values().stream()
                .flatMap(List::stream)
                .filter(route -> route.name().equals(name))
                .toList();
    }

    /** Priorities of the routes for streams to a service, most urgent first. */
    public NavigableSet<Integer> streamPriorities(ServiceName service) {
        return prioritiesByService.getOrDefault(service, Collections.emptyNavigableSet());
    }

    /** Whether a request on the route must carry the key of an organisation. */
    public boolean requiresKey(Route route) {
        return keysRequired && !route.anonymous();
    }

    /** The organisation that holds a key whose id is the given one; takes time proportional to the keys. */
    public Optional<Organisation> organisationByKeyId(KeyId id) {
        return organisationsByKey.entrySet().stream()
                .filter(entry -> KeyId.of(entry.getKey()).equals(id))
                .map(Map.Entry::getValue)
                .findFirst();
    }

    /** The organisation that holds the key. */
    public Optional<Organisation> organisation(String key) {
        return Optional.ofNullable(organisationsByKey.get(key));
    }
}
