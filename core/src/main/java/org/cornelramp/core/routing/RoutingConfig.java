package org.cornelramp.core.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
    private final Map<String, Organisation> byKey;
    private final boolean keysNeeded;
    private final ClientLimits limits;

    /**
     * An organisation as its key shows it. Immutable, safe for use by any thread.
     *
     * @param id its name
     * @param priority rank of its requests; goes before the route's where present
     */
    public record Organisation(OrganisationId id, Optional<Integer> priority) {}

    /**
     * @param version version that operators gave it; versions only grow
     * @param byKey the organisation of each key; empty where the deployment has no organisations
     * @param keysNeeded whether requests carry keys at all
     */
    public RoutingConfig(
            long version,
            Collection<Route> routes,
            Collection<ServiceSpec> services,
            Map<String, Organisation> byKey,
            boolean keysNeeded,
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
        this.byKey = Map.copyOf(byKey);
        this.keysNeeded = keysNeeded;
        this.limits = limits;
    }

    /** Its version. */
    public long version() {
        return version;
    }

    /** What clients may send. */
    public ClientLimits limits() {
        return limits;
    }

    /** The services. */
    public Collection<ServiceSpec> services() {
        return services.values();
    }

    /** Number of routes, for logs. */
    public int routeCount() {
        return routesByHost.values().stream().mapToInt(List::size).sum();
    }

    /** The service of that name. */
    public Optional<ServiceSpec> service(ServiceName name) {
        return Optional.ofNullable(services.get(name));
    }

    /** The route with the longest prefix of the path among those of the host. */
    public Optional<Route> route(String host, String path) {
        return routesByHost.getOrDefault(host, List.of()).stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .findFirst();
    }

    /** Whether a request on the route must carry a key that an organisation holds. */
    public boolean needsKey(Route route) {
        return keysNeeded && !route.anonymous();
    }

    /** The organisation that holds the key. */
    public Optional<Organisation> organisation(String key) {
        return Optional.ofNullable(byKey.get(key));
    }
}
