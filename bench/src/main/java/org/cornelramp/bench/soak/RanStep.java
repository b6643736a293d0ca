package org.cornelramp.bench.soak;

/**
 * Consecutive positions that an engine ran for a session. Immutable, safe for use by any thread.
 *
 * @param incarnation id of the process lifetime of the engine
 * @param session the session
 * @param epoch epoch under which the step was sent
 * @param layerFrom first layer that the engine holds
 * @param position first position
 * @param count number of positions
 */
public record RanStep(String incarnation, String session, int epoch, int layerFrom, int position, int count) {

    /** Position after the last. */
    public int end() {
        return position + count;
    }
}
