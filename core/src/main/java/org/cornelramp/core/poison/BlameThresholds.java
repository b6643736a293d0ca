package org.cornelramp.core.poison;

import java.time.Duration;

/**
 * When requests are blamed for crashes. Immutable, safe for use by any thread.
 *
 * @param crashes crashes at which a request must have been in progress
 * @param sharedCrashes crashes at which requests must have been in progress that cannot be told apart, because all of
 *     them were at exactly the same ones; protecting the fleet then outweighs the innocent one among them
 * @param partCrashes crashes at which a part of prompts must have been that different requests share
 * @param settling time after a report of a crash in which other processes may report more requests that were in
 *     progress there; nobody is blamed before
 */
public record BlameThresholds(int crashes, int sharedCrashes, int partCrashes, Duration settling) {
    /** For processes that see each crash of a backend server and all requests in progress there. */
    public static final BlameThresholds OBSERVED = new BlameThresholds(2, 4, 4, Duration.ZERO);

    /**
     * For processes that infer crashes from broken connections. A request that is retried while several servers fail
     * for another reason is at two crashes within a second.
     */
    public static final BlameThresholds INFERRED = new BlameThresholds(3, 5, 5, Duration.ofMillis(250));

    public BlameThresholds {
        if (crashes < 2 || sharedCrashes < crashes || partCrashes < crashes) {
            throw new IllegalArgumentException(
                    "A request must be at two crashes or more to be blamed, and at no fewer if others are at the same;"
                            + " a part of prompts must be at no fewer than a request");
        }
    }
}
