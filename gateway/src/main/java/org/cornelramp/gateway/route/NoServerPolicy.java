package org.cornelramp.gateway.route;

import org.cornelramp.gateway.request.Refusal;

/**
 * Decides what happens to a request that no server can take. Changes no state. Confined to the router's thread.
 *
 * <p>A started stream waits for a path until its client leaves, since only this gateway can continue it. A request that
 * has not started is refused at once, except shortly after the start of the process, while the servers are not known
 * yet, and while an unsafe request waits for a slot.
 */
final class NoServerPolicy {
    /**
     * Longest wait of a request after the start until the servers are known, in milliseconds; reading them takes a
     * tenth of it.
     */
    private static final long STARTUP_WAIT_MILLIS = 1_000;

    private final FleetState fleet;
    private final PoisonGuard poisonGuard;

    NoServerPolicy(FleetState fleet, PoisonGuard poisonGuard) {
        this.fleet = fleet;
        this.poisonGuard = poisonGuard;
    }

    /** What happens to a request. Immutable, safe for use by any thread. */
    enum Step {
        /** It waits until the servers are known. */
        AWAIT_SERVERS,
        /** It has started, and waits until its client leaves. */
        QUEUE_FOR_PATH,
        /** It waits for a short time. */
        QUEUE,
        REFUSE
    }

    Step step(ActiveRequest request, long now) {
        if (!fleet.isInitialised() && now - request.exchange().request().receivedMillis() < STARTUP_WAIT_MILLIS) {
            return Step.AWAIT_SERVERS;
        }
        if (request.exchange().isCommitted()) {
            return Step.QUEUE_FOR_PATH;
        }
        boolean waits = request.isAwaitingSlot() || poisonGuard.verdict(request, now) == PoisonGuard.Verdict.WAIT;
        return waits ? Step.QUEUE : Step.REFUSE;
    }

    /** How a request is refused that does not wait. */
    Refusal refusal(ActiveRequest request, long now) {
        return request.possibleRunCount() == 0
                ? poisonGuard.refusal(request, now).orElse(Refusal.NO_SERVER)
                : Refusal.UNKNOWN;
    }

    /** Why a request is refused. */
    String cause(ActiveRequest request, long now) {
        return poisonGuard.refusalCause(request, now).orElse("no server");
    }
}
