package org.cornelramp.core.admission;

import java.util.Comparator;

/** A request in an {@link AdmissionQueue}. Once it can't be on time any more it stays late. Owned by one thread. */
final class WaitingEntry<T> {
    final WaitingRequest<T> request;
    boolean late;

    WaitingEntry(WaitingRequest<T> request) {
        this.request = request;
    }

    /** Returns a copy that changes independently; the request itself is shared. */
    WaitingEntry<T> copy() {
        WaitingEntry<T> copy = new WaitingEntry<>(request);
        copy.late = late;
        return copy;
    }

    /** Time by which the first event is due: the target, or for a late request the end of its client's patience. */
    long latestStart() {
        return late ? request.patienceMillis() : request.targetMillis();
    }

    static <T> Comparator<WaitingEntry<T>> byTarget() {
        return Comparator.<WaitingEntry<T>>comparingLong(e -> e.request.targetMillis())
                .thenComparingLong(e -> e.request.id());
    }

    static <T> Comparator<WaitingEntry<T>> byPatience() {
        return Comparator.<WaitingEntry<T>>comparingLong(e -> e.request.patienceMillis())
                .thenComparingLong(e -> e.request.id());
    }

    /** Orders the most urgent first; within a priority the one with the latest target is last. */
    static <T> Comparator<WaitingEntry<T>> byUrgency() {
        return Comparator.<WaitingEntry<T>>comparingInt(e -> e.request.priority())
                .thenComparing(byTarget());
    }

    static <T> Comparator<WaitingEntry<T>> byLatestStart() {
        return Comparator.<WaitingEntry<T>>comparingLong(WaitingEntry::latestStart)
                .thenComparingLong(e -> e.request.id());
    }
}
