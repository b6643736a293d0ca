package org.cornelramp.gateway.route;

import java.util.Optional;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.fleet.ServerState;
import org.cornelramp.gateway.TestServers;
import org.cornelramp.platform.PlatformFault;

/** A backend server of a {@link RouterHistory} with its incarnations. Used by one thread. */
final class SimulatedServer {
    /** How a server answers. */
    enum Condition {
        WELL(Optional.empty()),
        SILENT(Optional.of(PlatformFault.Kind.NO_ANSWER)),
        DEAD(Optional.of(PlatformFault.Kind.NOT_LISTENING));

        private final Optional<PlatformFault.Kind> faultKind;

        Condition(Optional<PlatformFault.Kind> faultKind) {
            this.faultKind = faultKind;
        }
    }

    private final RouterSimulation router;
    private final BackendServer first;
    private BackendServer current;
    private Condition condition = Condition.WELL;
    private boolean doubted;
    private boolean known;
    private boolean ready;
    private int incarnation;
    private int deaths;

    SimulatedServer(RouterSimulation router, BackendServer first) {
        this.router = router;
        this.first = first;
        this.current = first;
    }

    BackendServer current() {
        return current;
    }

    int port() {
        return first.address().port();
    }

    boolean isWell() {
        return condition == Condition.WELL;
    }

    boolean isDead() {
        return condition == Condition.DEAD;
    }

    /** Whether the gateway may have had a reason to consider it lost. */
    boolean isDoubted() {
        return doubted;
    }

    /** Number of times that it has lost all its work. */
    int deaths() {
        return deaths;
    }

    /** Whether it has ever been registered. */
    boolean isKnown() {
        return known;
    }

    /** Whether it takes work, and the gateway has had no reason to doubt it. */
    boolean isUsable() {
        return isWell() && ready && !doubted;
    }

    void doubt() {
        doubted = true;
    }

    void setCondition(Condition next) {
        condition = next;
        doubted |= next != Condition.WELL;
        deaths += next == Condition.DEAD ? 1 : 0;
    }

    void register(ServerState state) {
        known = true;
        ready = state == ServerState.READY;
        router.register(current.withState(state));
    }

    void unregister() {
        ready = false;
        doubted = true;
        router.unregister(current);
    }

    /** Registers the next incarnation, which works. */
    void replace() {
        incarnation++;
        deaths++;
        current = TestServers.incarnation(first, first.name().value() + "-" + incarnation);
        condition = Condition.WELL;
        doubted = false;
        register(ServerState.READY);
    }

    /** Why it does not answer calls; empty if it does. */
    Optional<PlatformFault> fault() {
        return condition.faultKind.map(kind -> new PlatformFault(kind, "no answer"));
    }
}
