package org.cornelramp.core.ledger;

/** What a ledger says to a call under a key. Immutable, safe for use by any thread. */
public sealed interface KeyVerdict {
    /** The key is new and now queued: run it, once. */
    record Run() implements KeyVerdict {}

    /** The key is queued or started: its result will come. */
    record Wait(KeyState state) implements KeyVerdict {}

    /** The last word on the key. */
    record Settled(KeyResult result) implements KeyVerdict {}
}
