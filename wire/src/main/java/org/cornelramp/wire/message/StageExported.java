package org.cornelramp.wire.message;

import java.util.Optional;

/**
 * Carries the KV cache of a stage that stopped. Immutable, safe for use by any thread.
 *
 * @param session the session
 * @param epoch the epoch
 * @param stage index of the stage
 * @param position next position to run with the cache
 * @param kv the exported cache with the kept outputs; empty if the engine could not export it
 */
public record StageExported(long session, int epoch, int stage, int position, Optional<byte[]> kv) implements Message {}
