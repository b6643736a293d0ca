package org.cornelramp.wire.message;

/**
 * Ends a session at a stage, whether finished or abandoned; the agent frees its state and cancels it at the engine.
 * Immutable, safe for use by any thread.
 *
 * @param session the session
 * @param epoch the epoch; the message is ignored if the stage has a newer one
 */
public record CloseStage(long session, int epoch) implements Message {}
