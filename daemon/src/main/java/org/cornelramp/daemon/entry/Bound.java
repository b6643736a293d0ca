package org.cornelramp.daemon.entry;

import java.time.Instant;
import org.cornelramp.core.model.Incarnation;

/**
 * The agent life that a key is bound to. Immutable, safe for use by any thread.
 *
 * @param agent the only life that may run the key
 * @param at when the key was bound, and so when that life was last known to run
 */
record Bound(Incarnation agent, Instant at) {}
