package org.cornelramp.core.ledger;

/** Decision of a ledger on a call with a key. Immutable, safe for use by any thread. */
public sealed interface KeyVerdict {
    /** The key is new and now queued; the call is to run once. */
    record Run() implements KeyVerdict {}

    /** The key is queued or started; its result is pending. */
    record Wait(KeyState state) implements KeyVerdict {}

    /** The final result of the key. */
    record Settled(KeyResult result) implements KeyVerdict {}
}
