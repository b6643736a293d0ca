package org.cornelramp.gateway.request;

import java.util.Optional;

/**
 * The ids of consecutive events of a stream. Immutable, safe for use by any thread.
 *
 * <p>Engines promise only that ids increase, so a gap is no failure by itself. As they number events one by one, it is the
 * first sign of an event that was lost.
 *
 * @param firstId id of the first event; -1 if there is none
 * @param lastId id of the last event; if there is none, that of the event before, or -1
 * @param count number of events
 * @param gapCount number of places where ids are left out
 * @param firstGap the first of these places; empty if there is none
 */
public record EventIds(long firstId, long lastId, int count, int gapCount, Optional<Gap> firstGap) {

    /**
     * A place where ids are left out. Immutable, safe for use by any thread.
     *
     * @param afterId id of the event before it
     * @param nextId id of the event after it
     */
    public record Gap(long afterId, long nextId) {}

    /** No events yet. {@code previousId} is the id of the event after which the stream goes on; -1 if it is new. */
    static EventIds after(long previousId) {
        return new EventIds(-1, previousId, 0, 0, Optional.empty());
    }

    /** These events and one more. */
    EventIds plus(long id) {
        return plus(new EventIds(id, id, 1, 0, Optional.empty()));
    }

    /** These events and those that follow them. */
    EventIds plus(EventIds next) {
        if (next.count == 0) {
            return this;
        }
        boolean gap = lastId >= 0 && next.firstId > lastId + 1;
        Optional<Gap> between = gap ? Optional.of(new Gap(lastId, next.firstId)) : Optional.empty();
        return new EventIds(
                count == 0 ? next.firstId : firstId,
                Math.max(lastId, next.lastId),
                count + next.count,
                gapCount + next.gapCount + (gap ? 1 : 0),
                firstGap.or(() -> between).or(next::firstGap));
    }
}
