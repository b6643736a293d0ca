package org.cornelramp.daemon.entry;

import java.time.Instant;
import java.util.Optional;

/**
 * A call to a plain service as received from its caller. Immutable as long as the array is not modified.
 *
 * @param request the data that all requests have in common
 * @param idempotent whether the call may be repeated
 * @param key idempotency key; empty for an idempotent call without one
 * @param keyMadeAt when the key was made; the arrival time if there is no key
 * @param method HTTP method
 * @param path path and query, without the prefix that names the service
 * @param contentType media type of the body; empty if there is none
 * @param body the body
 * @param fingerprint fingerprint of organisation, service and call
 */
record ServiceRequest(
        CallerRequest request,
        boolean idempotent,
        Optional<String> key,
        Instant keyMadeAt,
        String method,
        String path,
        String contentType,
        byte[] body,
        String fingerprint) {}
