package org.cornelramp.wire.message;

/**
 * Says that the sender lives and that its last {@link Heartbeat} on this link still holds. An idle process says the
 * same many times a minute on every link; whole heartbeats were most of what its links carried.
 *
 * <p>The link layer sends it in place of an equal heartbeat and gives its listener the last whole one again.
 * Immutable, safe for use by any thread.
 */
public record Beat() implements Message {}
