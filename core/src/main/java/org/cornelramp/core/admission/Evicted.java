package org.cornelramp.core.admission;

/**
 * A request that left an {@link AdmissionQueue} without being admitted. Immutable, safe for use by any thread as far as
 * its work is.
 *
 * @param request the request
 * @param refusal the reason, and when to retry
 */
public record Evicted<T>(WaitingRequest<T> request, AdmissionRefusal refusal) {}
