package org.cornelramp.wire.message;

/**
 * Ends a session at a stage, finished or given up on; the agent frees what it holds and cancels its engine.
 * Immutable, safe for use by any thread.
 *
 * @param session the session
 * @param epoch the epoch; an older one than the stage holds is ignored
 */
public record CloseStage(long session, int epoch) implements Message {}
