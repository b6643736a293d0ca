package org.cornelramp.wire.message;

import org.cornelramp.core.model.ProblemKind;

/**
 * States that an agent did not open a stage; it holds no state of the session under that epoch.
 * Immutable, safe for use by any thread.
 *
 * @param session the session
 * @param epoch the epoch that was refused
 * @param stage index of the stage
 * @param kind reason
 * @param detail the reason in one sentence
 * @param retryAfterMillis delay before a retry; 0 if waiting does not help
 */
public record StageRefused(long session, int epoch, int stage, ProblemKind kind, String detail, long retryAfterMillis)
        implements Message {}
