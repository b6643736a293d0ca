package org.cornelramp.core.admission;

import java.time.Duration;
import org.cornelramp.core.model.Problem;

/**
 * Why a request was not admitted, and when to retry. The request has not run. Immutable, safe for use by any thread.
 *
 * @param reason the reason
 * @param expectedWaitMillis expected wait for a request of its priority, in milliseconds
 * @param retryAfterMillis time after which to retry, without jitter, in milliseconds
 */
public record AdmissionRefusal(RefusalReason reason, long expectedWaitMillis, long retryAfterMillis) {

    /** The answer to the client, without jitter. */
    public Problem problem() {
        return Problem.notRun(reason.kind(), reason.detail() + "; expected wait " + expectedWaitMillis + " ms")
                .withRetryAfter(Duration.ofMillis(retryAfterMillis));
    }
}
