package org.cornelramp.ports;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.Optional;

/**
 * One call to a plain service. Immutable if the array is not changed.
 *
 * @param method HTTP method
 * @param path path and query
 * @param contentType media type of the body; empty if there is none
 * @param body the body
 * @param key idempotency key, forwarded for services that check it; empty if there is none
 * @param requestId id of the request
 * @param timeoutMillis longest wait for the answer, in milliseconds
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record ServiceCall(
        String method,
        String path,
        String contentType,
        byte[] body,
        Optional<String> key,
        String requestId,
        long timeoutMillis) {}
