package org.cornelramp.core.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.BinaryOperator;
import java.util.function.Function;
import java.util.stream.Stream;
import org.cornelramp.core.admission.DemandReport.PriorityDemand;
import org.cornelramp.core.admission.DemandReport.ServiceDemand;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.OrganisationId;
import org.cornelramp.core.model.ServiceName;

/**
 * Counts the demand at this gateway and builds its report. Owned by one thread.
 *
 * <p>Invariant: the rates of a service and priority are kept only while they are above zero, so the state is bounded by
 * the recent traffic. Figures other than rates are taken from the requests in progress at each report, so they cannot
 * drift.
 */
public final class DemandCounter {
    /** Rate below which a priority counts as without requests: half a step of a report. */
    private static final double MIN_RATE = 0.5 / DemandReport.RATE_STEPS;

    private final Map<ServiceName, TreeMap<Integer, Rates>> rates = new HashMap<>();
    private final NameCollisions serviceNames = new NameCollisions();
    private final NameCollisions organisationIds = new NameCollisions();
    private final NameCollisions serverIds = new NameCollisions();

    private record Rates(EventRate arrivals, EventRate refusals) {
        boolean isZero(long nowMillis) {
            return arrivals.perSecond(nowMillis) < MIN_RATE && refusals.perSecond(nowMillis) < MIN_RATE;
        }
    }

    /**
     * A request in progress. Immutable, safe for use by any thread.
     *
     * @param service its service
     * @param priority its priority; 0 is the most urgent
     * @param organisation the organisation of its client
     * @param waiting whether it has not been sent yet
     * @param tokenLayers expected tokens times layers while it runs on engines; 0 otherwise
     * @param plainServer the plain server that it has been sent to
     */
    public record RequestInProgress(
            ServiceName service,
            int priority,
            Optional<OrganisationId> organisation,
            boolean waiting,
            long tokenLayers,
            Optional<BackendServerId> plainServer) {

        private PriorityDemand demand() {
            return new PriorityDemand(priority, 0, waiting ? 1 : 0, tokenLayers, 0);
        }
    }

    /** Records that a request was received. */
    public void recordArrival(ServiceName service, int priority, long nowMillis) {
        rates(service, priority, nowMillis).arrivals().add(nowMillis);
    }

    /** Records that a request was refused and has not run. */
    public void recordRefusal(ServiceName service, int priority, long nowMillis) {
        rates(service, priority, nowMillis).refusals().add(nowMillis);
    }

    private Rates rates(ServiceName service, int priority, long nowMillis) {
        return rates.computeIfAbsent(service, any -> new TreeMap<>())
                .computeIfAbsent(priority, any -> new Rates(new EventRate(nowMillis), new EventRate(nowMillis)));
    }

    /** Builds the report of this gateway. */
    public DemandReport report(Collection<RequestInProgress> requests, long nowMillis) {
        Map<ServiceName, SortedMap<Integer, PriorityDemand>> rows = rateRows(nowMillis);
        Map<ServiceName, Map<OrganisationId, Long>> organisations = new HashMap<>();
        Map<BackendServerId, Integer> plainInFlight = new HashMap<>();
        for (RequestInProgress request : requests) {
            rows.computeIfAbsent(request.service(), any -> new TreeMap<>())
                    .merge(request.priority(), request.demand(), PriorityDemand::plus);
            if (request.tokenLayers() > 0) {
                request.organisation().ifPresent(organisation -> organisations
                        .computeIfAbsent(request.service(), any -> new HashMap<>())
                        .merge(organisation, request.tokenLayers(), Long::sum));
            }
            request.plainServer().ifPresent(server -> plainInFlight.merge(server, 1, Integer::sum));
        }
        return new DemandReport(
                DemandReport.busiest(services(rows, organisations), DemandReport.MAX_SERVICES),
                DemandReport.largest(
                        byHash(plainInFlight, id -> serverIds.hash(id.value()), Integer::sum),
                        DemandReport.MAX_PLAIN_SERVERS));
    }

    private List<ServiceDemand> services(
            Map<ServiceName, SortedMap<Integer, PriorityDemand>> rows,
            Map<ServiceName, Map<OrganisationId, Long>> organisations) {
        Function<ServiceName, NameHash> hash = service -> serviceNames.hash(service.value());
        Map<NameHash, Map<OrganisationId, Long>> inUse =
                byHash(organisations, hash, (one, other) -> sums(one, other, Long::sum));
        List<ServiceDemand> services = new ArrayList<>();
        byHash(rows, hash, (one, other) -> sums(one, other, PriorityDemand::plus))
                .forEach((service, byPriority) -> services.add(new ServiceDemand(
                        service,
                        DemandReport.merged(List.copyOf(byPriority.values())),
                        DemandReport.largest(
                                byHash(
                                        inUse.getOrDefault(service, Map.of()),
                                        id -> organisationIds.hash(id.value()),
                                        Long::sum),
                                DemandReport.MAX_ORGANISATIONS))));
        return services;
    }

    /** The values by the hashes of their names; values of names with the same hash are summed. */
    private static <N, V> Map<NameHash, V> byHash(
            Map<N, V> byName, Function<N, NameHash> hash, BinaryOperator<V> plus) {
        Map<NameHash, V> values = new HashMap<>();
        byName.forEach((name, value) -> values.merge(hash.apply(name), value, plus));
        return values;
    }

    private static <K extends Comparable<K>, V> SortedMap<K, V> sums(
            Map<K, V> one, Map<K, V> other, BinaryOperator<V> plus) {
        SortedMap<K, V> sums = new TreeMap<>(one);
        other.forEach((key, value) -> sums.merge(key, value, plus));
        return sums;
    }

    /** The services for which this gateway has recently received or refused requests. */
    public Set<ServiceName> services() {
        return Set.copyOf(rates.keySet());
    }

    /** Pairs of names that share their figures, found since the last call; an operator has to rename one of each. */
    public List<String> takeCollisions() {
        return Stream.of(serviceNames, organisationIds, serverIds)
                .flatMap(names -> names.takeFound().stream())
                .map(pair -> pair.name() + " " + pair.other())
                .toList();
    }

    private Map<ServiceName, SortedMap<Integer, PriorityDemand>> rateRows(long nowMillis) {
        rates.values()
                .forEach(byPriority -> byPriority.values().removeIf(priorityRates -> priorityRates.isZero(nowMillis)));
        rates.values().removeIf(Map::isEmpty);
        Map<ServiceName, SortedMap<Integer, PriorityDemand>> rows = new HashMap<>();
        rates.forEach((service, byPriority) ->
                byPriority.forEach((priority, priorityRates) -> rows.computeIfAbsent(service, any -> new TreeMap<>())
                        .put(priority, row(priority, priorityRates, nowMillis))));
        return rows;
    }

    private static PriorityDemand row(int priority, Rates rates, long nowMillis) {
        return new PriorityDemand(
                priority,
                rates.arrivals().perSecond(nowMillis),
                0,
                0,
                rates.refusals().perSecond(nowMillis));
    }
}
