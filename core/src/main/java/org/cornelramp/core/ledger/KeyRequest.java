package org.cornelramp.core.ledger;

import java.time.Instant;
import org.cornelramp.core.model.Incarnation;

/**
 * A call that asks to run under a key. Immutable, safe for use by any thread.
 *
 * @param key the key's text
 * @param bound the incarnation that the key is bound to
 * @param fingerprint fingerprint of the request
 * @param minted when the key was minted, as the key itself says
 */
public record KeyRequest(String key, Incarnation bound, String fingerprint, Instant minted) {}
