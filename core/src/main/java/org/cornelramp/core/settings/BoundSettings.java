package org.cornelramp.core.settings;

/**
 * Limits on the sizes of messages, buffers and records in a process. Immutable, safe for use by any thread.
 *
 * @param bodyBytes maximum size of a request body, in bytes
 * @param headerBytes maximum size of a request head, in bytes
 * @param frameBytes maximum size of a frame on a link, in bytes
 * @param ringSlots capacity of the ring buffer of each event loop, in events; a power of two
 * @param inProgress maximum number of requests in progress at one entry, or of calls and sessions at one agent
 * @param keptOutputs maximum number of positions whose outputs a stage keeps for each session
 * @param keys maximum number of idempotency keys that an agent records
 */
public record BoundSettings(
        int bodyBytes, int headerBytes, int frameBytes, int ringSlots, int inProgress, int keptOutputs, int keys) {
    /** The limits used where the settings specify none. */
    public static final BoundSettings DEFAULTS =
            new BoundSettings(1 << 20, 16 << 10, 4 << 20, 1 << 14, 4_096, 8_192, 20_000);
}
