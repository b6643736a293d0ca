package org.cornelramp.core.limit;

import java.util.Optional;

/**
 * What one gateway tells its peers about the rate limit of one backend server. Immutable, safe for use by any thread.
 *
 * @param observed what an answer to the gateway itself has said about the limit; empty if it knows it only from peers
 * @param sent requests that it has sent to the server since it has known the limit
 */
public record RateLimitUpdate(Optional<Observation> observed, long sent) {

    /**
     * What an answer of the server has said. Immutable, safe for use by any thread.
     *
     * @param requestsPerSecond the limit that it named; empty if it named none any more
     * @param ageMillis time since the answer, in milliseconds
     */
    public record Observation(Optional<Double> requestsPerSecond, long ageMillis) {}
}
