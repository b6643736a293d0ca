package org.cornelramp.gateway.route;

import org.cornelramp.gateway.request.Refusal;

/** Decides when a refused client should return. Confined to the router's thread. */
final class RetryDelay {
    /** Longest time after which a client is asked to return: another gateway may be able to serve it earlier. */
    private static final long MAX_MILLIS = 5_000;

    /** Shortest time after which a client is asked to return when a slot was expected soon, in milliseconds. */
    private static final long MIN_SLOT_MILLIS = 200;

    private final FleetState fleet;
    private final PoisonGuard poisonGuard;

    RetryDelay(FleetState fleet, PoisonGuard poisonGuard) {
        this.fleet = fleet;
        this.poisonGuard = poisonGuard;
    }

    /** Time in milliseconds, not before a server takes requests if none does now; 0 if no later request would help. */
    long millis(ActiveRequest request, Refusal refusal, long now) {
        if (refusal == Refusal.POISON || refusal == Refusal.POISON_PART) {
            long millis = poisonGuard.millisUntilEnd(request, now);
            return millis > 0 ? millis : refusal.retryMillis();
        }
        if (request.isAwaitingSlot() && refusal == Refusal.OVERLOADED) {
            return Math.max(MIN_SLOT_MILLIS, request.expectedSlotMillis());
        }
        if (refusal.retryMillis() == 0 || fleet.hasOpenServer(request.service(), now)) {
            return refusal.retryMillis();
        }
        return Math.max(refusal.retryMillis(), millisUntilOpen(request, refusal, now));
    }

    /** Time in milliseconds after which a client returns whose request was not admitted. */
    long millis(RequestAdmission.Rejected rejected, long now) {
        return Math.max(rejected.retryMillis(), millisUntilOpen(rejected.request(), rejected.refusal(), now));
    }

    /** Time in milliseconds until a server takes requests, within limits; 0 if one does now or if none will help. */
    private long millisUntilOpen(ActiveRequest request, Refusal refusal, long now) {
        if (refusal.retryMillis() == 0 || fleet.hasOpenServer(request.service(), now)) {
            return 0;
        }
        return Math.min(fleet.millisUntilOpen(request.service(), now).orElse(0), MAX_MILLIS);
    }
}
