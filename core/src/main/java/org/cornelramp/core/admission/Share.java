package org.cornelramp.core.admission;

import java.util.Comparator;
import java.util.TreeSet;
import org.cornelramp.core.model.OrganisationId;

/**
 * The requests of one organisation in a queue, and how much service it has had. Owned by one thread.
 *
 * <p>Invariant: {@code cost} is the sum over {@code items}. The tag is the virtual time at which the organisation's
 * next request is due; it only rises, but for a correction of a charge that was too high.
 */
final class Share<T> {
    final OrganisationId organisation;
    final TreeSet<Entry<T>> items = new TreeSet<>(Entry.order());
    int weight = 1;
    double tag;
    double cost;

    Share(OrganisationId organisation, double tag) {
        this.organisation = organisation;
        this.tag = tag;
    }

    void add(Entry<T> e) {
        items.add(e);
        weight = e.waiting().weight();
        cost += e.waiting().cost();
    }

    void remove(Entry<T> e) {
        items.remove(e);
        cost = items.isEmpty() ? 0 : cost - e.waiting().cost();
    }

    /** Places held for each unit of weight: the organisation with the most loses its last request first. */
    double crowding() {
        return items.size() / (double) weight;
    }

    static <T> Comparator<Share<T>> byTag() {
        return Comparator.<Share<T>>comparingDouble(s -> s.tag).thenComparing(s -> s.organisation);
    }

    static <T> Comparator<Share<T>> byCrowding() {
        return Comparator.<Share<T>>comparingDouble(Share::crowding).thenComparing(s -> s.organisation);
    }

    /** A request with its place in the order of arrival. */
    record Entry<T>(Waiting<T> waiting, long sequence) {

        /** By priority, then the earliest latest start, then arrival. */
        static <T> Comparator<Entry<T>> order() {
            return Comparator.<Entry<T>>comparingInt(e -> e.waiting().priority())
                    .thenComparing(e -> e.waiting().latestStart())
                    .thenComparingLong(Entry::sequence);
        }

        static <T> Comparator<Entry<T>> byLatestStart() {
            return Comparator.<Entry<T>, java.time.Instant>comparing(
                            e -> e.waiting().latestStart())
                    .thenComparingLong(Entry::sequence);
        }
    }
}
