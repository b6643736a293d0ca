package org.cornelramp.core.settings;

/**
 * Bounds on what a process holds. Immutable, safe for use by any thread.
 *
 * @param bodyBytes largest request body
 * @param headerBytes largest request head
 * @param frameBytes largest frame on a link
 * @param ringSlots events that the ring before each duty holds; a power of two
 * @param inProgress requests in progress at one entry, or calls and sessions at one agent
 * @param keptOutputs positions of outputs that a stage keeps for each session
 * @param keys keys that an agent records
 */
public record BoundSettings(
        int bodyBytes, int headerBytes, int frameBytes, int ringSlots, int inProgress, int keptOutputs, int keys) {
    /** The bounds used where the settings name none. */
    public static final BoundSettings DEFAULTS =
            new BoundSettings(1 << 20, 16 << 10, 4 << 20, 1 << 14, 4_096, 8_192, 20_000);
}
