package org.cornelramp.gateway.route;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.fleet.PlainServerSelector;
import org.cornelramp.core.fleet.ServerRegistry;
import org.cornelramp.core.fleet.SuspectedServers;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.core.path.EngineLoads;
import org.cornelramp.core.settings.HostPort;

/** What the gateway believes of the backend servers. Owned by the router's duty. */
public final class Beliefs {
    /** Lateness of a turn from which on this process does not trust its own clock for an answer's absence. */
    private static final long LATE_MILLIS = 30;

    /** How long after a late turn it counts as late: the turns of its other threads may come later still. */
    private static final long LATE_FOR_MILLIS = 1_000;

    /** Heartbeats without which a registration runs out. */
    private static final long HEARTBEATS_MISSED = 3;

    private final long confirmMillis;
    private final ServerRegistry registry = new ServerRegistry();
    private final SuspectedServers suspicions = new SuspectedServers();
    private final EngineLoads loads = new EngineLoads();
    private final PlainServerSelector plain = new PlainServerSelector();
    private long lagMillis;
    private long lateUntilMillis = Long.MIN_VALUE;
    private boolean known;
    private boolean connected;
    private long era;

    /** @param heartbeatMillis interval in which the servers renew their registrations */
    public Beliefs(long heartbeatMillis) {
        this.confirmMillis = HEARTBEATS_MISSED * heartbeatMillis + ServerRegistry.REGISTRATION_GRACE_MILLIS;
    }

    /** The registrations. */
    public ServerRegistry registry() {
        return registry;
    }

    /** Servers that have just failed. */
    public SuspectedServers suspicions() {
        return suspicions;
    }

    /** What runs on each engine from here. */
    public EngineLoads loads() {
        return loads;
    }

    /** How plain servers did. */
    public PlainServerSelector plain() {
        return plain;
    }

    /** How late this process's own duty ran just now, in milliseconds. */
    public long lagMillis() {
        return lagMillis;
    }

    /**
     * Notes how late a tick of this process came. A gateway that has just started, or whose processor is full, reads
     * answers late; it must not take the servers for dead that it has not heard. The lag halves with each tick that is not
     * late, so it is forgotten within a fifth of a second.
     */
    public void tickLate(long lateMillis, long nowMillis) {
        lagMillis = Math.max(lateMillis, lagMillis / 2);
        if (lateMillis >= LATE_MILLIS) {
            lateUntilMillis = nowMillis + LATE_FOR_MILLIS;
        }
    }

    /** Whether this process was late within the last second, so that it may have read an answer too late. */
    public boolean isLate(long nowMillis) {
        return nowMillis < lateUntilMillis;
    }

    /** Whether the registrations have been read at least once. */
    public boolean isKnown() {
        return known;
    }

    /** What registrations that were read have done to what is believed. */
    public enum Taken {
        /** They say what was known already, or are of an era of the store that has ended. */
        NOTHING_NEW,
        /** They change what is known. */
        CHANGED,
        /** They are the first of a restored store, whether they change anything or not. */
        RESTORED
    }

    /**
     * Takes registrations as read. Those of an era before the one that is known say nothing any more, and only a whole
     * reading begins a new one.
     */
    public Taken registered(RouterEvent.Registered read, long nowMillis) {
        if (read.era() < era || (read.era() > era && !read.whole())) {
            return Taken.NOTHING_NEW;
        }
        boolean restored = read.era() > era && known;
        era = read.era();
        known = true;
        if (restored) {
            registry.restore(read.records(), read.end(), confirmMillis, nowMillis);
            return Taken.RESTORED;
        }
        return take(read, nowMillis) ? Taken.CHANGED : Taken.NOTHING_NEW;
    }

    private boolean take(RouterEvent.Registered read, long nowMillis) {
        if (read.whole()) {
            return registry.replaceAll(read.records(), read.end(), nowMillis);
        }
        boolean changed = false;
        for (ServerRegistry.Registration record : read.records()) {
            changed |= registry.apply(record, nowMillis);
        }
        return changed;
    }

    /**
     * The servers of a service that take work and are trusted now. One that leaves takes nothing new: an engine refuses each
     * new request that passes it, and each refusal costs one of the repeats that all gateways share.
     */
    public List<BackendServer> usable(ServiceName service, long nowMillis) {
        List<BackendServer> usable = new ArrayList<>();
        for (BackendServer server : registry.servers()) {
            boolean leaves = registry.leavingSinceMillis(server.id()).isPresent();
            if (server.service().equals(service) && !leaves && !isSuspect(server.id(), nowMillis)) {
                usable.add(server);
            }
        }
        return usable;
    }

    /** The same without some servers that a request avoids. */
    public List<BackendServer> usable(ServiceName service, Set<BackendServerId> avoid, long nowMillis) {
        return usable(service, nowMillis).stream()
                .filter(server -> !avoid.contains(server.id()))
                .toList();
    }

    /** Notes whether the store answers. */
    public void storeAnswers(boolean answers, long nowMillis) {
        connected = answers;
        registry.setStoreAvailable(answers, nowMillis);
    }

    /** Whether the server stops soon, or has already taken back its registration. */
    public boolean isLeaving(BackendServerId id) {
        return registry.server(id).isEmpty() || registry.leavingSinceMillis(id).isPresent();
    }

    /** How many of the known servers leave. */
    public long leavingCount() {
        return registry.servers().stream()
                .filter(server -> isLeaving(server.id()))
                .count();
    }

    /** Whether nothing is sent to the server now because it has just failed. */
    public boolean isSuspect(BackendServerId id, long nowMillis) {
        return suspicions.isSuspect(id, nowMillis);
    }

    /** Whether a server of the service takes work but has just failed, so that it may be back within moments. */
    public boolean hasSuspect(ServiceName service, long nowMillis) {
        return registry.servers().stream()
                .anyMatch(server -> server.service().equals(service)
                        && server.state().takesWork()
                        && isSuspect(server.id(), nowMillis));
    }

    /** Whether a server is dead or cut off, or has started again, so that what runs there should move. */
    public boolean isLost(BackendServerId id, long nowMillis) {
        return suspicions.isLost(id, nowMillis) || registry.isReplaced(id);
    }

    /** The server of a service at an address; another service may have registered the same one. */
    public Optional<BackendServer> at(HostPort address, ServiceName service) {
        return registry.servers().stream()
                .filter(server ->
                        server.address().equals(address) && server.service().equals(service))
                .findFirst();
    }

    /** What is believed now, for other duties. */
    public FleetView view(long nowMillis) {
        List<BackendServer> servers = registry.servers();
        Set<BackendServerId> suspects = new HashSet<>();
        for (BackendServer server : servers) {
            if (isSuspect(server.id(), nowMillis)) {
                suspects.add(server.id());
            }
        }
        return new FleetView(servers, suspects, connected, known);
    }

    /** Forgets what is known of servers that are not registered any more. */
    public void forgetGone() {
        suspicions.retain(id -> registry.server(id).isPresent());
        loads.retain(id -> registry.server(id).isPresent());
        plain.retain(id -> registry.server(id).isPresent());
    }
}
