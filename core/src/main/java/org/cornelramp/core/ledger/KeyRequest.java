package org.cornelramp.core.ledger;

import java.time.Instant;
import org.cornelramp.core.model.Incarnation;

/**
 * A call that presents an idempotency key. Immutable, safe for use by any thread.
 *
 * @param key the key's text
 * @param bound the incarnation that the key is bound to
 * @param fingerprint fingerprint of the request
 * @param minted creation time that the key carries
 */
public record KeyRequest(String key, Incarnation bound, String fingerprint, Instant minted) {}
