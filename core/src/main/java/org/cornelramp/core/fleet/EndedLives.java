package org.cornelramp.core.fleet;

import java.util.LinkedHashMap;
import java.util.Map;
import org.cornelramp.core.model.BackendServerId;

/**
 * Lives of backend servers that have ended, the newest few hundred of them. Owned by one thread.
 *
 * <p>Invariant: a life that was replaced by the next one of its server stays so; one whose registration was removed may
 * register again, as its server may only have been out of reach.
 */
final class EndedLives {
    /** Requests that still run in an ended life end within seconds; a restored store's copy is seconds old. */
    private static final int MOST = 256;

    private final Map<BackendServerId, End> ends = new LinkedHashMap<>();

    /** How a life ended. */
    private enum End {
        /** Its server has registered in another life. */
        REPLACED,
        /** Its registration was removed. */
        REMOVED
    }

    void replaced(BackendServerId id) {
        note(id, End.REPLACED);
    }

    void removed(BackendServerId id) {
        if (!isReplaced(id)) {
            note(id, End.REMOVED);
        }
    }

    /** Notes that the life has registered again. */
    void returned(BackendServerId id) {
        ends.remove(id, End.REMOVED);
    }

    boolean isReplaced(BackendServerId id) {
        return ends.get(id) == End.REPLACED;
    }

    boolean isRemoved(BackendServerId id) {
        return ends.get(id) == End.REMOVED;
    }

    private void note(BackendServerId id, End end) {
        ends.remove(id);
        ends.put(id, end);
        if (ends.size() > MOST) {
            ends.remove(ends.keySet().iterator().next());
        }
    }
}
