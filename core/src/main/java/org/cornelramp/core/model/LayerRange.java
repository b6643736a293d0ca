package org.cornelramp.core.model;

/**
 * The layers of a model that one stage of a pipeline holds. Immutable, safe for use by any thread.
 *
 * @param from first layer, from 0
 * @param to layer after the last
 * @param total layers of the whole model
 */
public record LayerRange(int from, int to, int total) {

    public LayerRange {
        if (from < 0 || from >= to || to > total) {
            throw new IllegalArgumentException("A layer range needs 0 <= from < to <= total");
        }
    }

    /** Whether this range starts the model. */
    public boolean isFirst() {
        return from == 0;
    }

    /** Whether this range ends the model. */
    public boolean isLast() {
        return to == total;
    }

    /** Whether {@code next} continues where this range ends. */
    public boolean isFollowedBy(LayerRange next) {
        return to == next.from && total == next.total;
    }
}
