package org.cornelramp.core.call;

/**
 * The answer of a plain service. Immutable if the array is not changed.
 *
 * @param status HTTP status
 * @param contentType media type; empty if there is no body
 * @param body the body
 */
public record CallResult(int status, String contentType, byte[] body) {}
