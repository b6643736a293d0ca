package org.cornelramp.gateway.route;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cornelramp.core.admission.FleetDemand;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.fleet.DoubtfulServers;
import org.cornelramp.core.fleet.PlainServerSelector;
import org.cornelramp.core.fleet.PlainServerStats;
import org.cornelramp.core.fleet.RestingServers;
import org.cornelramp.core.fleet.ServerRegistry;
import org.cornelramp.core.fleet.SharedServerSelector;
import org.cornelramp.core.fleet.SuspectedServers;
import org.cornelramp.core.limit.ServerRateLimits;
import org.cornelramp.core.member.GatewayStatus;
import org.cornelramp.core.member.GatewayStatuses;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.core.path.EngineLoads;
import org.cornelramp.core.path.PromptHolders;
import org.cornelramp.core.settings.HostPort;

/** State of the backend servers as this gateway knows it. Confined to the router's thread. */
public final class FleetState {
    /** Delay of a tick from which on a missing answer may be this process's own fault. */
    private static final long LATE_TICK_MILLIS = 30;

    /** How long the process counts as late after a late tick: its other threads may be scheduled even later. */
    private static final long LATE_DURATION_MILLIS = 1_000;

    /** Missed heartbeats after which a registration expires. */
    private static final long MISSED_HEARTBEATS = 3;

    private final long confirmMillis;
    private final ServerRegistry registry = new ServerRegistry();
    private final SuspectedServers suspectedServers = new SuspectedServers();
    private final DoubtfulServers doubtfulServers = new DoubtfulServers();
    private final EngineLoads loads = new EngineLoads();
    private final PlainServerStats plainStats = new PlainServerStats();
    private final PlainServerSelector plainServers = new PlainServerSelector(plainStats);
    private final SharedServerSelector sharedServers = new SharedServerSelector(plainStats);
    private final ServerRateLimits rateLimits;
    private final RestingServers restingServers = new RestingServers();
    private final FleetDemand demand = new FleetDemand();
    private final GatewayStatuses gatewayStatuses = new GatewayStatuses();
    private final Set<DemandUse> demandUses = EnumSet.noneOf(DemandUse.class);
    private Optional<PromptHolders> promptHolders = Optional.empty();
    private Optional<GatewayStatus> ownStatus = Optional.empty();
    private long lagMillis;
    private long lateUntilMillis = Long.MIN_VALUE;
    private boolean initialised;
    private boolean storeAvailable;
    private long era;

    /**
     * @param gateway name of this gateway
     * @param heartbeatMillis interval at which the servers renew their registrations
     */
    public FleetState(String gateway, long heartbeatMillis) {
        this.rateLimits = new ServerRateLimits(gateway);
        this.confirmMillis = MISSED_HEARTBEATS * heartbeatMillis + ServerRegistry.REGISTRATION_GRACE_MILLIS;
    }

    /** The registrations. */
    public ServerRegistry registry() {
        return registry;
    }

    /** Servers that have failed recently. */
    public SuspectedServers suspectedServers() {
        return suspectedServers;
    }

    /** Servers that have broken connections, until it is known whether they still work. */
    public DoubtfulServers doubtfulServers() {
        return doubtfulServers;
    }

    /** Load and slowdown of each engine. */
    public EngineLoads loads() {
        return loads;
    }

    /** What this gateway has observed of the plain servers, which are not engines. */
    public PlainServerStats plainStats() {
        return plainStats;
    }

    /** Chooses plain servers that few gateways share. */
    public PlainServerSelector plainServers() {
        return plainServers;
    }

    /** Chooses plain servers that many gateways share. */
    public SharedServerSelector sharedServers() {
        return sharedServers;
    }

    /** Number of gateways: this one and those whose updates it receives. */
    public int gatewayCount() {
        return loads.peerCount() + 1;
    }

    /** Requests that the other gateways have in flight at a plain server, as last reported. */
    public int plainPeersInFlight(BackendServerId server) {
        return (int) demand.peersPlainInFlight(server);
    }

    /** Limits that servers name on the requests that they take. */
    public ServerRateLimits rateLimits() {
        return rateLimits;
    }

    /** Servers that have asked this gateway for rest. */
    public RestingServers restingServers() {
        return restingServers;
    }

    /** Demand at this gateway and its peers; each report in it has an age. */
    public FleetDemand demand() {
        return demand;
    }

    /** Capacity and load of the peers, with their ages. */
    public GatewayStatuses gatewayStatuses() {
        return gatewayStatuses;
    }

    /** Which engines hold beginnings of prompts; empty while nothing uses it. */
    public Optional<PromptHolders> promptHolders() {
        return promptHolders;
    }

    /** Tracks which engines hold beginnings of prompts from now on. */
    public void trackPromptHolders(PromptHolders holders) {
        promptHolders = Optional.of(holders);
    }

    /** A function that needs demand reports while it is on. */
    public enum DemandUse {
        /** Admission of requests by priority. */
        ADMISSION,
        /** Distribution of connections over gateways of unequal size. */
        GATEWAY_LOAD
    }

    /** Says whether a function that needs demand reports is on; this gateway builds reports while any of them is. */
    public void setDemandUse(DemandUse use, boolean on) {
        if (on) {
            demandUses.add(use);
        } else {
            demandUses.remove(use);
        }
    }

    /** Whether this gateway builds demand reports. */
    public boolean reportsDemand() {
        return !demandUses.isEmpty();
    }

    /** Sets the status that this gateway reports while {@link DemandUse#GATEWAY_LOAD} is on. */
    public void setOwnStatus(GatewayStatus status) {
        ownStatus = Optional.of(status);
    }

    /** The status that this gateway reports; empty while it measures none. */
    public Optional<GatewayStatus> ownStatus() {
        return ownStatus.filter(status -> demandUses.contains(DemandUse.GATEWAY_LOAD));
    }

    /** Recent scheduling delay of the router's thread, in milliseconds. */
    public long lagMillis() {
        return lagMillis;
    }

    /**
     * Records how late a tick ran. A gateway that has just started, or whose processor is saturated, reads answers late
     * and must not take the servers for dead whose answers it has not read. The lag halves with each tick that is on
     * time, so it decays within 200 ms.
     */
    public void recordTickDelay(long lateMillis, long nowMillis) {
        lagMillis = Math.max(lateMillis, lagMillis / 2);
        if (lateMillis >= LATE_TICK_MILLIS) {
            lateUntilMillis = nowMillis + LATE_DURATION_MILLIS;
        }
    }

    /** Whether a tick was late within the last second, so that an answer may have been read too late. */
    public boolean isLate(long nowMillis) {
        return nowMillis < lateUntilMillis;
    }

    /** Whether the registrations have been read at least once. */
    public boolean isInitialised() {
        return initialised;
    }

    /** Effect of registration records on the known state. */
    public enum RegistrationEffect {
        /** The records were known already, or belong to an earlier era of the store. */
        UNCHANGED,
        /** The known servers have changed. */
        CHANGED,
        /** The records are the first of a restored store, whether or not they change anything. */
        RESTORED
    }

    /**
     * Applies registration records. Records of an earlier era than the known one are ignored, and only a complete set
     * of records starts a later era.
     */
    public RegistrationEffect applyRegistrations(RouterEvent.RegistrationsRead read, long nowMillis) {
        if (read.era() < era || (read.era() > era && !read.complete())) {
            return RegistrationEffect.UNCHANGED;
        }
        recordColdServers(read.records(), nowMillis);
        boolean restored = read.era() > era && initialised;
        era = read.era();
        initialised = true;
        if (restored) {
            registry.restore(read.records(), read.end(), confirmMillis, nowMillis);
            return RegistrationEffect.RESTORED;
        }
        return applyRecords(read, nowMillis) ? RegistrationEffect.CHANGED : RegistrationEffect.UNCHANGED;
    }

    private void recordColdServers(List<ServerRegistry.Registration> records, long nowMillis) {
        records.stream()
                .flatMap(record -> record.server().stream())
                .filter(server -> server.card().isEmpty())
                .forEach(server -> plainStats.coldReported(server.id(), server.coldRemainingMillis(), nowMillis));
    }

    private boolean applyRecords(RouterEvent.RegistrationsRead read, long nowMillis) {
        if (read.complete()) {
            return registry.replaceAll(read.records(), read.end(), nowMillis);
        }
        boolean changed = false;
        for (ServerRegistry.Registration record : read.records()) {
            changed |= registry.apply(record, nowMillis);
        }
        return changed;
    }

    /**
     * The servers of a service that accept work and are not suspected. A server that is shutting down gets no new
     * requests: an engine refuses each new request on its path, and each refusal consumes one of the retries that all
     * gateways share.
     */
    public List<BackendServer> usableServers(ServiceName service, long nowMillis) {
        List<BackendServer> usable = new ArrayList<>();
        for (BackendServer server : registry.servers()) {
            boolean leaves = registry.leavingSinceMillis(server.id()).isPresent();
            if (server.service().equals(service) && !leaves && !isSuspect(server.id(), nowMillis)) {
                usable.add(server);
            }
        }
        return usable;
    }

    /** The usable servers of a service, except those that a request avoids. */
    public List<BackendServer> usableServers(ServiceName service, Set<BackendServerId> avoid, long nowMillis) {
        return usableServers(service, nowMillis).stream()
                .filter(server -> !avoid.contains(server.id()))
                .toList();
    }

    /**
     * The servers of a service to which this gateway may send no further request now, by what they have said about the
     * requests that they take. An engine may still take part in a path that begins at another engine.
     */
    public Set<BackendServerId> closedServers(ServiceName service, long nowMillis) {
        return Stream.concat(rateLimits.closedServers(nowMillis).stream(), restingServers.resting(nowMillis).stream())
                .filter(id -> registry.server(id)
                        .filter(server -> server.service().equals(service))
                        .isPresent())
                .collect(Collectors.toUnmodifiableSet());
    }

    /** The servers of a service at which a request can begin and that are not shutting down, suspected or not. */
    public List<BackendServer> startServers(ServiceName service) {
        return registry.servers().stream()
                .filter(server -> server.service().equals(service) && !isLeaving(server.id()))
                .filter(FleetState::canStart)
                .toList();
    }

    private static boolean canStart(BackendServer server) {
        return server.card().isEmpty() || server.holds(0);
    }

    /** Whether a working server of the service, at which a request can begin, takes requests of this gateway now. */
    public boolean hasOpenServer(ServiceName service, long nowMillis) {
        Set<BackendServerId> closed = closedServers(service, nowMillis);
        return usableServers(service, closed, nowMillis).stream().anyMatch(FleetState::canStart);
    }

    /** Time until a working server of the service takes requests again, in milliseconds; empty if none is to be expected. */
    public OptionalLong millisUntilOpen(ServiceName service, long nowMillis) {
        return closedServers(service, nowMillis).stream()
                .filter(id -> !isLeaving(id) && !isSuspect(id, nowMillis))
                .flatMap(id -> rateLimits.millisUntilStart(id, nowMillis).stream()
                        .map(millis -> Math.max(millis, restingServers.millisUntilEnd(id, nowMillis))))
                .mapToLong(Long::longValue)
                .min();
    }

    /** Records whether the store answers. */
    public void setStoreAvailable(boolean answers, long nowMillis) {
        storeAvailable = answers;
        registry.setStoreAvailable(answers, nowMillis);
    }

    /** Whether the server is shutting down or is no longer registered. */
    public boolean isLeaving(BackendServerId id) {
        return registry.server(id).isEmpty() || registry.leavingSinceMillis(id).isPresent();
    }

    /** Number of known servers that are shutting down. */
    public long leavingCount() {
        return registry.servers().stream()
                .filter(server -> isLeaving(server.id()))
                .count();
    }

    /** Whether the server has failed recently, so that no requests are sent to it. */
    public boolean isSuspect(BackendServerId id, long nowMillis) {
        return suspectedServers.isSuspect(id, nowMillis);
    }

    /** Whether a server of the service accepts work but is suspected, so that it may be usable again soon. */
    public boolean hasSuspect(ServiceName service, long nowMillis) {
        return registry.servers().stream()
                .anyMatch(server -> server.service().equals(service)
                        && server.state().takesWork()
                        && isSuspect(server.id(), nowMillis));
    }

    /** Whether a server is dead, unreachable or restarted, so that its running requests should move. */
    public boolean isLost(BackendServerId id, long nowMillis) {
        return suspectedServers.isLost(id, nowMillis) || registry.isReplaced(id);
    }

    /** The server of a service at an address; another service may have registered the same address. */
    public Optional<BackendServer> serverAt(HostPort address, ServiceName service) {
        return registry.servers().stream()
                .filter(server ->
                        server.address().equals(address) && server.service().equals(service))
                .findFirst();
    }

    /** An immutable view of the present state, for other threads. */
    public FleetView view(long nowMillis) {
        List<BackendServer> servers = registry.servers();
        Set<BackendServerId> suspects = new HashSet<>();
        for (BackendServer server : servers) {
            if (isSuspect(server.id(), nowMillis)) {
                suspects.add(server.id());
            }
        }
        Set<ServiceName> services = servers.stream().map(BackendServer::service).collect(Collectors.toSet());
        return new FleetView(
                servers,
                suspects,
                storeAvailable,
                initialised,
                demand.arrivalsByDataCentre(services),
                loads.slowdownFactors());
    }

    /**
     * Removes the state of servers that are no longer registered. A present suspicion stays until it ends, since streams
     * may still run over the server.
     */
    public void removeUnregistered(long nowMillis) {
        suspectedServers.retain(id -> registry.server(id).isPresent() || isSuspect(id, nowMillis));
        loads.retain(id -> registry.server(id).isPresent());
        plainStats.retain(id -> registry.server(id).isPresent());
    }
}
