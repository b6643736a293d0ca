package org.cornelramp.ports;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/**
 * The answer of a plain service. Immutable if the array is not changed.
 *
 * @param status HTTP status
 * @param contentType media type; empty if there is no body
 * @param body the body
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record ServiceReply(int status, String contentType, byte[] body) {}
