package org.cornelramp.core.fleet;

import java.util.HashMap;
import java.util.Map;
import org.cornelramp.core.model.BackendServerId;

/**
 * Tells servers that are dead from a process that hears nobody. Owned by one thread.
 *
 * <p>A process whose own link is full, or that stands still for a moment, gets no answer in time from anyone. If it took
 * all of them for dead it would move every stream, and a leader would place the model anew. Few servers die in the same
 * moment; so from the third silent one on, each is asked once more, with more time.
 */
public final class UnansweredQuestions {
    /** Servers that may be found dead in one span without doubt: those of a small rack. */
    static final int BELIEVED = 2;

    /** Span in which they are counted, in milliseconds: five times the time that a question is given. */
    static final long SPAN_MILLIS = 600;

    private final Map<BackendServerId, Long> silent = new HashMap<>();

    /**
     * Notes that a server did not answer; true if the fault is more likely here than there. A server that is asked again
     * within the span and does not answer is believed to be dead.
     */
    public boolean isOwnFault(BackendServerId id, long nowMillis) {
        silent.values().removeIf(at -> nowMillis - at > SPAN_MILLIS);
        boolean askedAgain = silent.putIfAbsent(id, nowMillis) != null;
        return !askedAgain && silent.size() > BELIEVED;
    }
}
