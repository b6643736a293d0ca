package org.cornelramp.core.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.IntPredicate;
import java.util.function.ToDoubleFunction;
import org.cornelramp.core.model.OrganisationId;

/**
 * The order in which waiting requests are tried: one request of each starved or inverted priority and starved
 * organisation, then those that can be on time, then late ones; each by priority, then the organisation that used least
 * capacity, then latest start. Owned by one thread.
 */
final class AdmissionOrder<T> {
    private final ShareTracker shares;
    private final ToDoubleFunction<Optional<OrganisationId>> used;
    private final IntPredicate goesFirst;
    private final long nowMillis;

    AdmissionOrder(
            ShareTracker shares,
            ToDoubleFunction<Optional<OrganisationId>> used,
            IntPredicate goesFirst,
            long nowMillis) {
        this.shares = shares;
        this.used = used;
        this.goesFirst = goesFirst;
        this.nowMillis = nowMillis;
    }

    List<WaitingRequest<T>> sort(Collection<WaitingEntry<T>> entries) {
        Map<Boolean, TreeMap<Integer, Map<Optional<OrganisationId>, List<WaitingEntry<T>>>>> groups = new TreeMap<>();
        for (WaitingEntry<T> entry : entries) {
            groups.computeIfAbsent(entry.late, late -> new TreeMap<>())
                    .computeIfAbsent(entry.request.priority(), priority -> new HashMap<>())
                    .computeIfAbsent(entry.request.organisation(), organisation -> new ArrayList<>())
                    .add(entry);
        }
        List<WaitingRequest<T>> order = new ArrayList<>(entries.size());
        groups.values().forEach(byPriority -> byPriority.values().forEach(group -> appendFairly(group, order)));
        return starvedFirst(order);
    }

    /** Appends the next request of the organisation with the least use, and charges it, until none is left. */
    private void appendFairly(
            Map<Optional<OrganisationId>, List<WaitingEntry<T>>> byOrganisation, List<WaitingRequest<T>> order) {
        PriorityQueue<Line<T>> lines = new PriorityQueue<>(Line.order());
        byOrganisation.forEach((organisation, entries) -> {
            entries.sort(WaitingEntry.byLatestStart());
            lines.add(new Line<>(entries, 0, used.applyAsDouble(organisation)));
        });
        while (!lines.isEmpty()) {
            Line<T> line = lines.remove();
            order.add(line.head().request);
            if (line.next() + 1 < line.entries().size()) {
                double charged = line.used() + line.head().request.cost();
                lines.add(new Line<>(line.entries(), line.next() + 1, charged));
            }
        }
    }

    /** Moves one request of each starved key to the front: a second one would exceed what the key is owed. */
    private List<WaitingRequest<T>> starvedFirst(List<WaitingRequest<T>> order) {
        Map<Long, WaitingRequest<T>> result = new LinkedHashMap<>();
        Set<Object> seen = new HashSet<>();
        for (WaitingRequest<T> request : order) {
            boolean first = seen.add(request.priority()) && goesFirst.test(request.priority());
            first |= seen.add(request.organisation()) && shares.isStarved(request.organisation(), nowMillis);
            if (first) {
                result.put(request.id(), request);
            }
        }
        order.forEach(request -> result.putIfAbsent(request.id(), request));
        return List.copyOf(result.values());
    }

    private record Line<T>(List<WaitingEntry<T>> entries, int next, double used) {
        static <T> Comparator<Line<T>> order() {
            return Comparator.<Line<T>>comparingDouble(Line::used)
                    .thenComparing(Line::head, WaitingEntry.byLatestStart());
        }

        WaitingEntry<T> head() {
            return entries.get(next);
        }
    }
}
