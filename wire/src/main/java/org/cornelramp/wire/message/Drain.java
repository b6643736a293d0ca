package org.cornelramp.wire.message;

/**
 * Asks an agent to begin its planned stop, as a stop signal to its process would. A repeat has no effect.
 * Immutable, safe for use by any thread.
 *
 * @param by who asked for it, for the agent's log
 */
public record Drain(String by) implements Message {}
