package org.cornelramp.wire.message;

import org.cornelramp.core.model.ProblemKind;

/**
 * Tells the entry that a stage cannot continue a session. Immutable, safe for use by any thread.
 *
 * @param session the session
 * @param epoch the epoch
 * @param stage index of the lost stage; the sender may be an adjacent stage
 * @param kind reason
 * @param detail the reason in one sentence
 */
public record StageLost(long session, int epoch, int stage, ProblemKind kind, String detail) implements Message {}
