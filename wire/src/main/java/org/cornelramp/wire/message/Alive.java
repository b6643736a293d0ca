package org.cornelramp.wire.message;

/**
 * A heartbeat that says the same as the last {@link Heartbeat} on the link. An idle process spends most of its control
 * traffic on heartbeats, and this one takes a few bytes. Only the link itself handles it: its listener is given the
 * last heartbeat again. Immutable, safe for use by any thread.
 */
public record Alive() implements Message {}
