package org.cornelramp.gateway.route;

import java.util.HashMap;
import java.util.Map;

/**
 * Runs parts of the router's work so that an exception in one of them does not end the others. Confined to the router's
 * thread.
 *
 * <p>Invariant: the log is bounded; the exceptions of one request are logged once, and those of one step once a second.
 */
final class FaultBarrier {
    private static final long STEP_LOG_PAUSE_MILLIS = 1_000;

    private final RoutingLog routingLog;
    private final Map<String, Long> lastLoggedMillis = new HashMap<>();
    private long count;

    FaultBarrier(RoutingLog routingLog) {
        this.routingLog = routingLog;
    }

    /** Runs work on one request; false if it threw an exception. */
    boolean run(ActiveRequest request, Runnable work) {
        try {
            work.run();
            return true;
        } catch (RuntimeException | Error e) {
            countException("request");
            if (request.markFaultLogged()) {
                routingLog.faulted(request.exchange().request().id(), "request", e);
            }
            return false;
        }
    }

    /**
     * Runs a step of the router's work; false if it threw an exception.
     *
     * @param step name of the step, one of a fixed set
     */
    boolean run(String step, long nowMillis, Runnable work) {
        try {
            work.run();
            return true;
        } catch (RuntimeException | Error e) {
            countException(step);
            if (isLogDue(step, nowMillis)) {
                routingLog.faulted("", step, e);
            }
            return false;
        }
    }

    /** Number of exceptions so far. */
    long count() {
        return count;
    }

    private void countException(String step) {
        count++;
        routingLog.countException(step);
    }

    private boolean isLogDue(String step, long nowMillis) {
        Long last = lastLoggedMillis.get(step);
        boolean due = last == null || nowMillis - last >= STEP_LOG_PAUSE_MILLIS;
        if (due) {
            lastLoggedMillis.put(step, nowMillis);
        }
        return due;
    }
}
