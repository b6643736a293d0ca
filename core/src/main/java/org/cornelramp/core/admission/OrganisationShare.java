package org.cornelramp.core.admission;

import java.util.Comparator;
import java.util.TreeSet;
import org.cornelramp.core.model.OrganisationId;

/**
 * The queued requests of one organisation, and the service that it has received. Owned by one thread.
 *
 * <p>Invariant: {@code cost} is the sum over {@code items}. The tag is the virtual time at which the organisation's
 * next request is due; it falls only when a charge that was too high is corrected.
 */
final class OrganisationShare<T> {
    final OrganisationId organisation;
    final TreeSet<Entry<T>> entries = new TreeSet<>(Entry.order());
    int weight = 1;
    double tag;
    double cost;

    OrganisationShare(OrganisationId organisation, double tag) {
        this.organisation = organisation;
        this.tag = tag;
    }

    void add(Entry<T> e) {
        entries.add(e);
        weight = e.request().weight();
        cost += e.request().cost();
    }

    void remove(Entry<T> e) {
        entries.remove(e);
        cost = entries.isEmpty() ? 0 : cost - e.request().cost();
    }

    /** Queued requests per unit of weight; a full queue evicts from the organisation with the most. */
    double occupancy() {
        return entries.size() / (double) weight;
    }

    static <T> Comparator<OrganisationShare<T>> byTag() {
        return Comparator.<OrganisationShare<T>>comparingDouble(s -> s.tag).thenComparing(s -> s.organisation);
    }

    static <T> Comparator<OrganisationShare<T>> byOccupancy() {
        return Comparator.<OrganisationShare<T>>comparingDouble(OrganisationShare::occupancy)
                .thenComparing(s -> s.organisation);
    }

    /** A queued request with its arrival sequence number. */
    record Entry<T>(QueuedRequest<T> request, long sequence) {

        /** Orders by priority, then latest start (earliest first), then arrival. */
        static <T> Comparator<Entry<T>> order() {
            return Comparator.<Entry<T>>comparingInt(e -> e.request().priority())
                    .thenComparing(e -> e.request().latestStart())
                    .thenComparingLong(Entry::sequence);
        }

        static <T> Comparator<Entry<T>> byLatestStart() {
            return Comparator.<Entry<T>, java.time.Instant>comparing(
                            e -> e.request().latestStart())
                    .thenComparingLong(Entry::sequence);
        }
    }
}
