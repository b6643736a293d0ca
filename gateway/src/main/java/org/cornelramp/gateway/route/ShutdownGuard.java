package org.cornelramp.gateway.route;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.cornelramp.core.shutdown.ShutdownPolicy;
import org.cornelramp.gateway.request.Exchange;
import org.cornelramp.gateway.request.Refusal;

/**
 * Applies the policy of a planned shutdown to the requests in progress: whether one may be sent, or sent once more, and
 * how it is refused if not. Confined to the router's thread, except {@link #policy}, which any thread may use.
 */
final class ShutdownGuard {
    private final ShutdownPolicy policy;
    private final BooleanSupplier hasStayingPeer;

    /** @param hasStayingPeer whether there is a gateway that is not stopping */
    ShutdownGuard(ShutdownPolicy policy, BooleanSupplier hasStayingPeer) {
        this.policy = policy;
        this.hasStayingPeer = hasStayingPeer;
    }

    ShutdownPolicy policy() {
        return policy;
    }

    /** Whether another attempt at a request can end before the process; each event of a started stream is progress. */
    boolean mayAttempt(ActiveRequest request, long now) {
        Exchange.ClientRequest call = request.exchange().request();
        return request.exchange().isCommitted() || policy.accepts(call.route(), call.deadlineMillis(), now);
    }

    /** How a request is refused that has not run. */
    Refusal refusal() {
        return Refusal.whileStopping(hasStayingPeer.getAsBoolean());
    }

    /** How a request is ended that can't be answered any more. */
    Refusal refusalFor(ActiveRequest request) {
        return request.possibleRunCount() == 0 ? refusal() : Refusal.STOPPED;
    }

    /** Records how long a request took that a server may have run. */
    void recordEnd(ActiveRequest request, long now) {
        if (request.possibleRunCount() > 0) {
            Exchange.ClientRequest call = request.exchange().request();
            policy.recordResponse(call.route().name(), now - call.receivedMillis());
        }
    }

    /** Tells the policy how long the requests in progress have taken so far. */
    void observe(Collection<ActiveRequest> requests, long now) {
        if (!policy.isStopping()) {
            return;
        }
        Map<String, Long> oldest = new HashMap<>();
        for (ActiveRequest request : requests) {
            long age = now - request.exchange().request().receivedMillis();
            oldest.merge(request.route().name(), age, Math::max);
        }
        policy.setOldestInProgress(oldest);
    }
}
