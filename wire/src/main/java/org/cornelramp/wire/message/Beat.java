package org.cornelramp.wire.message;

/**
 * States that the sender is alive and that its last {@link Heartbeat} on this link is unchanged. An idle process
 * repeats the same heartbeat many times a minute on every link, and full heartbeats made up most of its traffic.
 *
 * <p>The link layer sends it in place of an equal heartbeat, and passes the last full one to the receiver's listener
 * again. Immutable, safe for use by any thread.
 */
public record Beat() implements Message {}
