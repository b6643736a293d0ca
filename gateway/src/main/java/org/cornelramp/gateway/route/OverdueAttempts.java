package org.cornelramp.gateway.route;

import java.util.Optional;
import org.cornelramp.core.path.LostAnswerDetector;
import org.cornelramp.core.routing.RouteKind;
import org.cornelramp.gateway.request.Attempt;

/**
 * Finds attempts to cancel although nothing has failed: late answers, and streams whose answer is lost.
 *
 * <p>Invariant: an attempt is cancelled only if the request can be retried. A server that is only late still answers;
 * if its attempt were cancelled without a retry or another server, the client would get an unknown outcome instead of
 * the late answer. Confined to the router's thread.
 */
final class OverdueAttempts {
    /**
     * Multiple of the target latency after which a plain service's answer is late, and the request is retried on
     * another server.
     */
    private static final double LATE_FACTOR = 1.2;

    /**
     * Time for which bytes may arrive without completing the head of a response or an event with an id. Valid heads and
     * events arrive within some milliseconds, and clients of a stream leave after 2 s or more without an event.
     */
    private static final long MAX_UNFINISHED_MILLIS = 1_000;

    private final SharedRetries sharedRetries;
    private final Dispatcher dispatcher;
    private final ShutdownGuard shutdown;
    private final LostAnswerDetector lostAnswerDetector = new LostAnswerDetector();

    OverdueAttempts(SharedRetries sharedRetries, Dispatcher dispatcher, ShutdownGuard shutdown) {
        this.sharedRetries = sharedRetries;
        this.dispatcher = dispatcher;
        this.shutdown = shutdown;
    }

    /** Whether events of the attempt have arrived. */
    static boolean hasEvents(ActiveRequest request, Attempt attempt) {
        return request.exchange().lastEventMillis() > attempt.startMillis();
    }

    /** Records that events of the attempt have arrived; true on the first call for the attempt. */
    boolean recordFirstEvent(ActiveRequest request, Attempt attempt, long now) {
        boolean first = request.markFirstEvent();
        if (first) {
            attempt.path()
                    .ifPresent(
                            path -> lostAnswerDetector.recordBegun(path.first().id(), attempt.startMillis(), now));
        }
        return first;
    }

    /** Why an attempt without an event is to be cancelled now; empty if it continues. */
    Optional<String> cancelReason(ActiveRequest request, Attempt attempt, long now) {
        return overdueReason(request, attempt, now)
                .filter(why -> canRetry(request, attempt, now))
                .filter(why ->
                        !attempt.hasUnreadBytes()); // the answer has arrived, but this process has not read it yet
    }

    /** Whether a server sends, byte by byte, what never completes a part of a response, and the request can be retried. */
    boolean isUnfinished(ActiveRequest request, Attempt attempt, long now) {
        return attempt.unfinishedMillis() > MAX_UNFINISHED_MILLIS
                && request.route().mayRetry()
                && canRetry(request, attempt, now);
    }

    private Optional<String> overdueReason(ActiveRequest request, Attempt attempt, long now) {
        if (isAnswerLost(request, attempt, now)) {
            return Optional.of("its answer is lost: streams sent to the same engine later have started");
        }
        return isLate(request, attempt, now) ? Optional.of("its answer is late") : Optional.empty();
    }

    /**
     * Whether a running stream can be restarted at once. The retries that are reserved for started streams whose
     * engines die are not used for this.
     */
    boolean canRestart(ActiveRequest request, long now) {
        return request.route().mayRetry()
                && shutdown.mayAttempt(request, now)
                && sharedRetries.isAvailable(request.service(), false, now)
                && dispatcher.hasPath(request, now);
    }

    private boolean isAnswerLost(ActiveRequest request, Attempt attempt, long now) {
        return request.route().mayRetry()
                && attempt.path()
                        .filter(path ->
                                lostAnswerDetector.isAnswerLost(path.first().id(), attempt.startMillis(), now))
                        .isPresent();
    }

    /**
     * A retry is useful only while there is time left for it, so only the first attempt at a safe request counts as
     * late.
     */
    private static boolean isLate(ActiveRequest request, Attempt attempt, long now) {
        double maxWaitMillis = LATE_FACTOR * request.route().targetMillis();
        boolean first = request.route().kind() == RouteKind.SAFE && request.attemptCount() == 1;
        return first && !attempt.hasResponseStarted() && now - attempt.startMillis() > maxWaitMillis;
    }

    private boolean canRetry(ActiveRequest request, Attempt attempt, long now) {
        boolean started = request.exchange().isCommitted();
        boolean elsewhere =
                attempt.path().isPresent() || dispatcher.hasAlternativeServer(request, attempt.server(), now);
        return elsewhere
                && shutdown.mayAttempt(request, now)
                && sharedRetries.isAvailable(request.service(), started, now);
    }
}
