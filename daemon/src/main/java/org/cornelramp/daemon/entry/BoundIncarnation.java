package org.cornelramp.daemon.entry;

import java.time.Instant;
import org.cornelramp.core.model.Incarnation;

/**
 * The agent incarnation that an idempotency key is bound to. Immutable, safe for use by any thread.
 *
 * @param agent the only incarnation that may run the call with this key
 * @param boundAt when the key was bound; the incarnation was running at that time
 */
record BoundIncarnation(Incarnation agent, Instant boundAt) {}
