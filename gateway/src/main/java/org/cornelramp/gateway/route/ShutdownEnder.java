package org.cornelramp.gateway.route;

import org.cornelramp.gateway.request.Attempt;

/**
 * Ends the requests that a stopping process can't finish: those that wait as soon as they can't end in time any more, all
 * others when the process ends. Each client is told whether its request may have run. Confined to the router's thread.
 */
final class ShutdownEnder {
    private final ShutdownGuard guard;
    private final UnframedEnds unframedEnds;
    private final RequestEnder ender;
    private final RoutingLog routingLog;

    ShutdownEnder(ShutdownGuard guard, UnframedEnds unframedEnds, RequestEnder ender, RoutingLog routingLog) {
        this.guard = guard;
        this.unframedEnds = unframedEnds;
        this.ender = ender;
        this.routingLog = routingLog;
    }

    /** Ends a request if it can't be finished; false if it goes on. */
    boolean endIfUnfinishable(ActiveRequest request, long now) {
        if (!guard.policy().isStopping()) {
            return false;
        }
        return guard.policy().isOver(now) ? endNow(request, now) : refuseIfTooLate(request, now);
    }

    private boolean refuseIfTooLate(ActiveRequest request, long now) {
        boolean waits = request.attempt() == null && !unframedEnds.isUndecided(request);
        if (!waits || guard.mayAttempt(request, now)) {
            return false;
        }
        ender.giveUp(request, guard.refusalFor(request), "the process stops before it could end", now);
        return true;
    }

    private boolean endNow(ActiveRequest request, long now) {
        Attempt attempt = request.attempt();
        if (attempt != null && attempt.hasEnded()) {
            return false; // its answer is about to be handled
        }
        routingLog.inProgressAtEnd(request, now);
        if (attempt != null) {
            request.endAttempt(false);
            attempt.cancel("the process ends");
        }
        ender.giveUp(request, guard.refusalFor(request), "the process ends", now);
        return true;
    }
}
