package org.cornelramp.core.admission;

/**
 * What is predicted for a request if it started now on its path. Immutable, safe for use by any thread.
 *
 * @param priority priority of the request, 0 first
 * @param pauseMillis predicted pause between events on the path, with the request included
 * @param pauseLimitMillis longest pause that the route allows; 0 if it has no limit
 * @param firstEventMillis predicted time to the first event
 * @param targetLeftMillis time left until the first event is late; negative if it is late already
 * @param routeTargetMillis time that the route allows for the first event of a new request
 * @param patienceLeftMillis time left until the client leaves
 * @param reserve the requests for which capacity is to be left
 * @param standing whether its priority or organisation got too small a share; see {@link AdmissionQueue#standing}
 * @param onTimeWaiting whether a request waits that can still be on time and is at least as urgent
 */
public record Prospect(
        int priority,
        double pauseMillis,
        double pauseLimitMillis,
        double firstEventMillis,
        double targetLeftMillis,
        double routeTargetMillis,
        double patienceLeftMillis,
        Reserve reserve,
        Standing standing,
        boolean onTimeWaiting) {

    /**
     * Capacity that a request has to leave for those expected to arrive before more becomes free.
     *
     * @param moreUrgentPerSecond arrivals of more urgent requests at all gateways, per second
     * @param samePriorityPerSecond arrivals of its own priority at all gateways, per second
     * @param horizonMillis time in which capacity becomes free, and the age of the loads of peers
     * @param paths number of paths over which the arrivals are spread, at least 1
     * @param pausePerRequestMillis time that each running request adds to the pauses of its path
     */
    public record Reserve(
            double moreUrgentPerSecond,
            double samePriorityPerSecond,
            double horizonMillis,
            double paths,
            double pausePerRequestMillis) {
        /**
         * Horizon for loads that are 120 to 360 ms old: within it, peers' starts become known and running requests end.
         */
        public static final double USUAL_HORIZON_MILLIS = 800;

        /** @param deviations standard deviations of the arrivals that are covered in addition to their mean */
        double pauseMillis(boolean late, double deviations) {
            double perSecond = moreUrgentPerSecond + (late ? samePriorityPerSecond : 0);
            double mean = perSecond * horizonMillis / 1_000 / Math.max(1, paths);
            return (mean + deviations * Math.sqrt(mean)) * pausePerRequestMillis; // the variance of a count is its mean
        }
    }

    boolean late() {
        return firstEventMillis > targetLeftMillis;
    }

    /**
     * Whether the pauses on the path stay within a part of the limit, and with the reserve included within the limit. The
     * part does not apply to the reserve, which is a margin itself: with both, the least urgent requests were held back for
     * two seconds after a burst.
     */
    boolean pauseWithin(double margin) {
        double reserved = standing.leavesReserve() ? reserve.pauseMillis(late(), standing.reserveDeviations()) : 0;
        return pauseLimitMillis <= 0
                || (pauseMillis <= pauseLimitMillis * margin && pauseMillis + reserved <= pauseLimitMillis);
    }

    /** Whether a new request of the route could be on time, which is the only limit of a route without a pause limit. */
    boolean newRequestOnTime() {
        return pauseLimitMillis > 0 || firstEventMillis <= routeTargetMillis;
    }
}
