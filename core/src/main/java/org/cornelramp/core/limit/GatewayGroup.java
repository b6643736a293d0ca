package org.cornelramp.core.limit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cornelramp.core.model.BackendServerId;

/**
 * The gateways that may share the limit of a backend server: this one and its peers. Owned by one thread.
 *
 * <p>Invariant: a peer counts until it has been silent for {@link #PEER_VALID_MILLIS}, so that a gateway that is only
 * unreachable from here keeps its part of every limit.
 */
final class GatewayGroup {
    /** Time for which a silent peer counts: longer than any window in which a server counts its requests. */
    static final long PEER_VALID_MILLIS = 10_000;

    /** Time after the start in which peers may exist that have not been heard yet. */
    private static final long DISCOVERY_MILLIS = 5_000;

    /** Number of gateways that are assumed at least until the peers are known. */
    private static final int MIN_GATEWAYS = 4;

    private final String self;
    private final Map<String, Long> heardMillis = new HashMap<>();
    private long startMillis = Long.MIN_VALUE;
    private long version;

    GatewayGroup(String self) {
        this.self = self;
    }

    String self() {
        return self;
    }

    /** Records that a peer has sent an update. */
    void recordPeer(String name, long nowMillis) {
        if (heardMillis.put(name, nowMillis) == null) {
            version++;
        }
    }

    /** Removes the peers that have been silent for too long. */
    void removeSilent(long nowMillis) {
        startMillis = startMillis == Long.MIN_VALUE ? nowMillis : startMillis;
        if (heardMillis.values().removeIf(at -> nowMillis - at > PEER_VALID_MILLIS)) {
            version++;
        }
    }

    /** Changes whenever a peer is added or removed. */
    long version() {
        return version;
    }

    /** Number of gateways, including those that may not be known yet. */
    int size(long nowMillis) {
        boolean discovering = startMillis == Long.MIN_VALUE || nowMillis - startMillis < DISCOVERY_MILLIS;
        return Math.max(heardMillis.size() + 1, discovering ? MIN_GATEWAYS : 1);
    }

    /**
     * The gateways that send requests to a limited server, at most {@code count}. All gateways that know the same peers
     * choose the same ones, by a hash, so that each server has others.
     */
    List<String> sharers(BackendServerId server, int count) {
        List<String> names = new ArrayList<>(heardMillis.keySet());
        names.add(self);
        names.sort(Comparator.<String>comparingLong(name -> hash(server, name)).thenComparing(name -> name));
        return List.copyOf(names.subList(0, Math.min(count, names.size())));
    }

    /** Spreads the bits, since names differ in their last characters only. */
    private static long hash(BackendServerId server, String name) {
        long mixed = 31L * server.value().hashCode() + name.hashCode();
        mixed = (mixed ^ (mixed >>> 30)) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
        return mixed ^ (mixed >>> 31);
    }
}
