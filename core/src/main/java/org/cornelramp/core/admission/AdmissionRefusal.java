package org.cornelramp.core.admission;

/**
 * Why a request was not admitted, and when to retry. The request has not run. Immutable, safe for use by any thread.
 *
 * @param reason the reason
 * @param expectedWaitMillis expected wait for a request of its priority, in milliseconds
 * @param retryAfterMillis time after which to retry, without jitter, in milliseconds
 */
public record AdmissionRefusal(RefusalReason reason, long expectedWaitMillis, long retryAfterMillis) {}
