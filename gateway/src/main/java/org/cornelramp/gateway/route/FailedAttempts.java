package org.cornelramp.gateway.route;

import java.util.List;
import java.util.function.ObjLongConsumer;
import org.cornelramp.gateway.request.Attempt;
import org.cornelramp.gateway.request.AttemptEnd;

/**
 * Decides what follows an attempt that was answered in whole or that has failed: a retry, the answer or a refusal.
 * Confined to the router's thread.
 */
final class FailedAttempts {
    /** Lowest HTTP status that means a failure of the backend server. */
    private static final int SERVER_ERROR = 500;

    private final RetryDispatcher retryDispatcher;
    private final RequestAdmission admission;
    private final ObjLongConsumer<List<RequestAdmission.Rejected>> onRejected;
    private final RequestEnder ender;
    private final FailureDetector failureDetector;
    private final RoutingLog routingLog;

    /** @param onRejected ends the requests that are not admitted, given the current time */
    FailedAttempts(
            RetryDispatcher retryDispatcher,
            RequestAdmission admission,
            ObjLongConsumer<List<RequestAdmission.Rejected>> onRejected,
            RequestEnder ender,
            FailureDetector failureDetector,
            RoutingLog routingLog) {
        this.retryDispatcher = retryDispatcher;
        this.admission = admission;
        this.onRejected = onRejected;
        this.ender = ender;
        this.failureDetector = failureDetector;
        this.routingLog = routingLog;
    }

    /** Passes an answer on, or retries the request where the answer is a failure. */
    void handleAnswer(ActiveRequest request, Attempt attempt, AttemptEnd end, long now) {
        // A started stream has sent its status to the client already, so any status that a retry is answered with is a
        // failure.
        boolean started = request.exchange().isCommitted();
        boolean failed = started || end.status() >= SERVER_ERROR;
        if (failed && request.route().mayRetry() && retryAnswered(request, attempt, end, now)) {
            return;
        }
        if (started) {
            ender.abort(request, "a retry was answered with status " + end.status(), "", now);
            return;
        }
        request.exchange().forwardResponse(end.status(), end.fields(), end.body());
        ender.finish(request, "answered", end.status(), now);
    }

    /**
     * Retries an answered request. A request that has not started is not queued for the retry, as its answer can be
     * passed on.
     */
    private boolean retryAnswered(ActiveRequest request, Attempt attempt, AttemptEnd end, long now) {
        return request.exchange().isCommitted()
                ? retryDispatcher.retryOrQueue(request, attempt, end, now)
                : retryDispatcher.retryNow(request, attempt, end, now);
    }

    void handleFailure(ActiveRequest request, Attempt attempt, AttemptEnd end, long now) {
        failureDetector.handleFailedAttempt(attempt, end, now);
        routingLog.attemptFailed(request, attempt, end, now);
        boolean mayRetry = end.kind().surelyNotRun() || request.route().mayRetry();
        if (mayRetry && retry(request, attempt, end, now)) {
            return;
        }
        ender.giveUp(request, ender.refusalFor(request, now), end.detail(), now);
    }

    /** Retries a request now or lets it wait; false if it is to be ended. */
    private boolean retry(ActiveRequest request, Attempt attempt, AttemptEnd end, long now) {
        if (!admission.applies(request)) {
            return retryDispatcher.retryOrQueue(request, attempt, end, now);
        }
        if (!retryDispatcher.prepareRetry(request, attempt, end, now)
                || (!retryDispatcher.hasRetry(request, now) && !retryDispatcher.mayAwaitRetry(request, now))) {
            return false;
        }
        onRejected.accept(admission.readmit(request, now), now);
        return true;
    }
}
