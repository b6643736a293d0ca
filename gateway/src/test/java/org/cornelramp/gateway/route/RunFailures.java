package org.cornelramp.gateway.route;

import java.util.List;
import java.util.SplittableRandom;

/**
 * How the servers of a {@link PoisonFleet} answer the requests that they run, beside crashing. Immutable.
 *
 * @param share share of the runs that end with a failure of the server's own before they can crash it
 * @param statuses statuses of these answers, one as likely as another
 * @param maxDelayMillis most by which such an answer is late
 * @param unframedShare share of all answers that have neither a length nor chunks
 */
record RunFailures(double share, List<Integer> statuses, int maxDelayMillis, double unframedShare) {
    static final RunFailures NONE = new RunFailures(0, List.of(500), 0, 0);

    private static final List<Integer> STATUSES = List.of(500, 504, 404, 400, 409, 429);

    RunFailures {
        statuses = List.copyOf(statuses);
    }

    /** A share of runs that all end with the same status. */
    static RunFailures of(double share, int status) {
        return new RunFailures(share, List.of(status), 0, 0);
    }

    /** Some runs fail, some of the answers are late, and some are unframed. */
    static RunFailures draw(SplittableRandom random) {
        int first = random.nextInt(STATUSES.size());
        return new RunFailures(
                random.nextInt(5) * 0.1,
                STATUSES.subList(first, first + 1 + random.nextInt(STATUSES.size() - first)),
                random.nextInt(3) * 300,
                random.nextInt(3) * 0.2);
    }

    /** Status with which the next run fails; 0 if it does not. */
    int nextStatus(SplittableRandom random) {
        return share > 0 && random.nextDouble() < share ? statuses.get(random.nextInt(statuses.size())) : 0;
    }

    /** By how much the next failure is late, in milliseconds. */
    int nextDelayMillis(SplittableRandom random) {
        return maxDelayMillis > 0 ? random.nextInt(maxDelayMillis) : 0;
    }

    /** Whether the next answer is unframed. */
    boolean isNextUnframed(SplittableRandom random) {
        return unframedShare > 0 && random.nextDouble() < unframedShare;
    }
}
