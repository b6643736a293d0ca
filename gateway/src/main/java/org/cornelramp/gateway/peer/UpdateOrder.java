package org.cornelramp.gateway.peer;

import java.util.HashMap;
import java.util.Map;

/** Tells newer updates of the peers from those that datagrams have brought late or twice. Confined to one thread. */
final class UpdateOrder {
    private final Map<String, Latest> latest = new HashMap<>();

    private record Latest(long incarnation, long sequenceNumber) {}

    /** Place of an update among those of its sender. Immutable, safe for use by any thread. */
    enum Place {
        /** A newer update of the same process has been received. */
        OUTDATED,
        NEWER,
        /** None of this process has been received: it has just started, or was not known. */
        FIRST
    }

    /** Places an update and remembers it. */
    Place place(PeerUpdate update) {
        Latest previous = latest.get(update.name());
        Latest next = new Latest(update.sender().incarnation(), update.sequenceNumber());
        if (previous == null || previous.incarnation() != next.incarnation()) {
            latest.put(update.name(), next);
            return Place.FIRST;
        }
        if (previous.sequenceNumber() >= next.sequenceNumber()) {
            return Place.OUTDATED;
        }
        latest.put(update.name(), next);
        return Place.NEWER;
    }
}
