package org.cornelramp.core.fleet;

import java.util.LinkedHashMap;
import java.util.Map;
import org.cornelramp.core.model.BackendServerId;

/**
 * A bounded record of the backend server incarnations that ended most recently. Owned by one thread.
 *
 * <p>Invariant: an incarnation that was replaced by a later one of its server stays replaced. One whose registration was
 * removed may register again, since its server may only have been unreachable.
 */
final class EndedIncarnations {
    /**
     * Covers more than a few seconds of ended incarnations: requests that still run on one end within seconds, and the copy
     * of a restored store is seconds old.
     */
    private static final int MAX_ENTRIES = 256;

    private final Map<BackendServerId, End> ends = new LinkedHashMap<>();

    /** How an incarnation ended. */
    private enum End {
        /** Its server registered as another incarnation. */
        REPLACED,
        /** Its registration was removed. */
        REMOVED
    }

    void markReplaced(BackendServerId id) {
        recordEnd(id, End.REPLACED);
    }

    void markRemoved(BackendServerId id) {
        if (!isReplaced(id)) {
            recordEnd(id, End.REMOVED);
        }
    }

    /** Records that a removed incarnation has registered again. */
    void markRegistered(BackendServerId id) {
        ends.remove(id, End.REMOVED);
    }

    boolean isReplaced(BackendServerId id) {
        return ends.get(id) == End.REPLACED;
    }

    boolean isRemoved(BackendServerId id) {
        return ends.get(id) == End.REMOVED;
    }

    private void recordEnd(BackendServerId id, End end) {
        ends.remove(id);
        ends.put(id, end);
        if (ends.size() > MAX_ENTRIES) {
            ends.remove(ends.keySet().iterator().next());
        }
    }
}
