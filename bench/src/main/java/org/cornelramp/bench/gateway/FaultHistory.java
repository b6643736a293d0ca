package org.cornelramp.bench.gateway;

import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;

/** When faults were in force, and what they struck. Safe for use by any thread. */
final class Disturbances {
    /** Number for a fault that strikes every gateway. */
    static final int ALL = -1;

    private final CopyOnWriteArrayList<Disturbance> all = new CopyOnWriteArrayList<>();

    /** What a fault strikes. Immutable. */
    enum Target {
        /** A gateway's process is killed or stands still. */
        PROCESS,
        /** A gateway's process is told to stop. */
        STOP,
        /** The connections between clients and a gateway. */
        CLIENTS,
        /** The store, or a gateway's way to it. */
        STORE,
        /** A backend server or the connections to it. */
        BACKEND
    }

    /**
     * One fault. Immutable.
     *
     * @param gateway number of the gateway; {@link #ALL} for every one
     * @param toMillis its end; {@link Long#MAX_VALUE} while it lasts
     */
    record Disturbance(Target target, int gateway, long fromMillis, long toMillis) {
        boolean strikes(int other, long from, long to) {
            return (gateway == ALL || gateway == other) && fromMillis <= to && toMillis >= from;
        }
    }

    /** Notes that a fault begins; hand what is returned to {@link #end}. */
    Disturbance begin(Target target, int gateway, long nowMillis) {
        Disturbance open = new Disturbance(target, gateway, nowMillis, Long.MAX_VALUE);
        all.add(open);
        return open;
    }

    /** Notes that a fault has ended. */
    void end(Disturbance open, long nowMillis) {
        all.set(all.indexOf(open), new Disturbance(open.target(), open.gateway(), open.fromMillis(), nowMillis));
    }

    /** Whether a fault of these kinds struck the gateway in a span of time. */
    boolean struck(Set<Target> targets, int gateway, long from, long to) {
        return all.stream().anyMatch(one -> targets.contains(one.target()) && one.strikes(gateway, from, to));
    }

    /** All so far. */
    List<Disturbance> all() {
        return List.copyOf(all);
    }
}
