package org.cornelramp.wire.message;

/**
 * States that a stage has opened the session under an epoch. Immutable, safe for use by any thread.
 *
 * @param session the session
 * @param epoch the epoch that was opened
 * @param stage index of the stage
 * @param position next position that the stage will run; it has run all earlier ones
 */
public record StageOpened(long session, int epoch, int stage, int position) implements Message {}
