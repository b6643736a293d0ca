package org.cornelramp.daemon.entry;

import java.time.Instant;
import java.util.Optional;

/**
 * One call to a plain service as its caller made it. Immutable if the array is not changed.
 *
 * @param request what all requests have in common
 * @param idempotent whether the call may be repeated
 * @param key idempotency key; empty for an idempotent call without one
 * @param keyMadeAt when the key was made; the arrival of a call without one
 * @param method HTTP method
 * @param path path and query for the service
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
