package org.cornelramp.bench.gateway;

import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;

/** Records which faults were active at which times and what they affected. Safe for use by any thread. */
final class FaultHistory {
    /** Gateway number of a fault that affects every gateway. */
    static final int ALL = -1;

    private final CopyOnWriteArrayList<FaultPeriod> all = new CopyOnWriteArrayList<>();

    /** What a fault affects. Immutable. */
    enum Target {
        /** A gateway's process is killed or paused. */
        PROCESS,
        /** A gateway's process gets a signal to stop or to reload its settings. */
        STOP,
        /** The connections between clients and a gateway. */
        CLIENTS,
        /** The store, or a gateway's connection to it. */
        STORE,
        /** A backend server or the connections to it. */
        BACKEND
    }

    /**
     * The period in which one fault was active. Immutable.
     *
     * @param gateway number of the gateway; {@link #ALL} for all gateways
     * @param toMillis end of the fault; {@link Long#MAX_VALUE} while it is active
     */
    record FaultPeriod(Target target, int gateway, long fromMillis, long toMillis) {
        boolean affects(int other, long from, long to) {
            return (gateway == ALL || gateway == other) && fromMillis <= to && toMillis >= from;
        }
    }

    /** Records the start of a fault; the caller passes the result to {@link #end}. */
    FaultPeriod begin(Target target, int gateway, long nowMillis) {
        FaultPeriod open = new FaultPeriod(target, gateway, nowMillis, Long.MAX_VALUE);
        all.add(open);
        return open;
    }

    /** Records the end of a fault. */
    void end(FaultPeriod open, long nowMillis) {
        all.set(all.indexOf(open), new FaultPeriod(open.target(), open.gateway(), open.fromMillis(), nowMillis));
    }

    /** Whether a fault of these targets affected the gateway within a period of time. */
    boolean isAffected(Set<Target> targets, int gateway, long from, long to) {
        return all.stream().anyMatch(one -> targets.contains(one.target()) && one.affects(gateway, from, to));
    }

    /** All faults so far. */
    List<FaultPeriod> all() {
        return List.copyOf(all);
    }
}
