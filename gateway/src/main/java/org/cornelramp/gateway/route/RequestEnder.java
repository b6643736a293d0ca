package org.cornelramp.gateway.route;

import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.cornelramp.gateway.request.AttemptEnd;
import org.cornelramp.gateway.request.Exchange;
import org.cornelramp.gateway.request.Refusal;

/**
 * Ends requests: tells the client how, forgets all state of the request, and logs the outcome. Confined to the router's
 * thread.
 */
final class RequestEnder {
    private final Map<Exchange, ActiveRequest> activeRequests;
    private final AtomicInteger activeRequestCount;
    private final SharedRetries sharedRetries;
    private final Dispatcher dispatcher;
    private final RetryDispatcher retryDispatcher;
    private final UnframedEnds unframedEnds;
    private final PoisonGuard poisonGuard;
    private final RetryDelay retryDelay;
    private final DemandReporter demandReporter;
    private final RoutingLog routingLog;
    private final RequestAdmission admission;
    private final ShutdownGuard shutdown;

    /**
     * @param activeRequests the requests in progress
     * @param activeRequestCount number of the requests in progress
     */
    RequestEnder(
            Map<Exchange, ActiveRequest> activeRequests,
            AtomicInteger activeRequestCount,
            SharedRetries sharedRetries,
            Dispatcher dispatcher,
            RetryDispatcher retryDispatcher,
            UnframedEnds unframedEnds,
            PoisonGuard poisonGuard,
            RetryDelay retryDelay,
            DemandReporter demandReporter,
            RoutingLog routingLog,
            RequestAdmission admission,
            ShutdownGuard shutdown) {
        this.activeRequests = activeRequests;
        this.activeRequestCount = activeRequestCount;
        this.sharedRetries = sharedRetries;
        this.dispatcher = dispatcher;
        this.retryDispatcher = retryDispatcher;
        this.unframedEnds = unframedEnds;
        this.poisonGuard = poisonGuard;
        this.retryDelay = retryDelay;
        this.demandReporter = demandReporter;
        this.routingLog = routingLog;
        this.admission = admission;
        this.shutdown = shutdown;
    }

    /** Ends a request whose whole stream has been forwarded. */
    void complete(ActiveRequest request, AttemptEnd end, long now) {
        request.exchange().complete(end.fields());
        finish(request, "complete", end.status(), now);
    }

    /** What to answer to a request that is not sent any more. */
    Refusal refusalFor(ActiveRequest request, long now) {
        if (request.possibleRunCount() > 0) {
            return Refusal.UNKNOWN;
        }
        Refusal usual = shutdown.mayAttempt(request, now) ? Refusal.OVERLOADED : shutdown.refusal();
        return poisonGuard.refusal(request, now).orElse(usual);
    }

    /** Refuses a request, or aborts it if a part of its response has been sent. */
    void giveUp(ActiveRequest request, Refusal refusal, String why, long now) {
        giveUp(request, refusal, retryDelay.millis(request, refusal, now), why, now);
    }

    /** Ends a request that was not admitted; one that may have run is not told that it has not. */
    void reject(RequestAdmission.Rejected rejected, long now) {
        ActiveRequest request = rejected.request();
        if (request.possibleRunCount() > 0) {
            giveUp(request, refusalFor(request, now), rejected.why(), now);
            return;
        }
        giveUp(request, rejected.refusal(), retryDelay.millis(rejected, now), rejected.why(), now);
    }

    private void giveUp(ActiveRequest request, Refusal refusal, long retryMillis, String why, long now) {
        boolean refused =
                !request.exchange().isCommitted() && request.exchange().refuse(refusal, retryMillis);
        if (!refused) {
            abort(request, why, "", now); // its first event may have been sent a moment ago
            return;
        }
        demandReporter.recordRefusal(request, now);
        routingLog.refused(request, refusal, why);
        finish(request, "refused", refusal.status(), now);
    }

    /**
     * Aborts the response to a request.
     *
     * @param seen how it was detected that the client has gone; empty if it has not
     */
    void abort(ActiveRequest request, String why, String seen, long now) {
        request.exchange().abort(why);
        routingLog.brokenOff(request, why, seen, sharedRetries.remaining(request.service(), now), now);
        finish(request, "broken", 0, now);
    }

    /** Forgets a request whose client has got its response. */
    void finish(ActiveRequest request, String outcome, int status, long now) {
        if (activeRequests.remove(request.exchange()) != null) {
            activeRequestCount.decrementAndGet();
        }
        shutdown.recordEnd(request, now);
        retryDispatcher.remove(request);
        admission.remove(request);
        unframedEnds.remove(request);
        dispatcher.removeLoad(request);
        routingLog.ended(request, outcome, status, now);
    }
}
