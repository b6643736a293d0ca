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
 *
 * <p>A process that is short of processor time reads answers late, and its own clocks stand in the same queue: it measures
 * a silence that is its own. Believed, the silence of living engines makes it move their streams, for which it has no time
 * either. So while it is late it believes the first silence only of a server that another process has seen fail too.
 */
public final class UnansweredQuestions {
    /** Servers that may be found dead in one span without doubt: those of a small rack. */
    static final int BELIEVED = 2;

    /** Span in which they are counted, in milliseconds: five times the time that a question is given. */
    static final long SPAN_MILLIS = 600;

    private final Map<BackendServerId, Long> silent = new HashMap<>();
    private final Map<BackendServerId, Long> seenElsewhere = new HashMap<>();

    /** Notes that another process has seen a server fail. */
    public void seenElsewhere(BackendServerId id, long nowMillis) {
        seenElsewhere.put(id, nowMillis);
    }

    /**
     * Notes that a server did not answer; true if the fault is more likely here than there. A server that is asked again
     * within the span and does not answer is believed to be dead.
     *
     * @param late whether this process ran late just now
     */
    public boolean isOwnFault(BackendServerId id, boolean late, long nowMillis) {
        silent.values().removeIf(at -> nowMillis - at > SPAN_MILLIS);
        seenElsewhere.values().removeIf(at -> nowMillis - at > SPAN_MILLIS);
        boolean askedAgain = silent.putIfAbsent(id, nowMillis) != null;
        boolean alone = late && !seenElsewhere.containsKey(id);
        return !askedAgain && (alone || silent.size() > BELIEVED);
    }
}
