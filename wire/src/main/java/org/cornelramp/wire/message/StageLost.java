package org.cornelramp.wire.message;

import org.cornelramp.core.model.ProblemKind;

/**
 * Tells the entry that a stage cannot go on with a session. Immutable, safe for use by any thread.
 *
 * @param session the session
 * @param epoch the epoch
 * @param stage index of the stage that is lost; its neighbour may be the sender
 * @param kind why
 * @param detail one sentence
 */
public record StageLost(long session, int epoch, int stage, ProblemKind kind, String detail) implements Message {}
