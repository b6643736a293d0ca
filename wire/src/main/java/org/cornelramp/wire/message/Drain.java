package org.cornelramp.wire.message;

/**
 * Asks an agent to begin its planned stop, as a stop signal to its process would. A repeat changes nothing.
 * Immutable, safe for use by any thread.
 *
 * @param by who asked, for the agent's log
 */
public record Drain(String by) implements Message {}
