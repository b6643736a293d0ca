package org.cornelramp.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.cornelramp.core.model.ServiceName;

/**
 * The demand at one gateway, as it reports it to its peers. Immutable, safe for use by any thread.
 *
 * <p>Invariant: the number of rows is bounded, and no figure is negative.
 *
 * @param services the demand for each service
 * @param plainInFlight requests in flight at plain servers; servers without any are omitted
 * @param detailed whether it has the details: capacity in use and refusals. Decisions that depend on recent figures do
 *     not need them, so most reports to a peer leave them out
 */
public record DemandReport(List<ServiceDemand> services, Map<NameHash, Integer> plainInFlight, boolean detailed) {
    /** Most services in a report. */
    public static final int MAX_SERVICES = 6;

    /** Most priorities of a service. */
    public static final int MAX_PRIORITIES = 8;

    /** Most organisations of a service. */
    public static final int MAX_ORGANISATIONS = 8;

    /** Most plain servers in a report. */
    public static final int MAX_PLAIN_SERVERS = 32;

    /** A peer gets the details in one out of this many reports, or more often. */
    public static final int REPORTS_PER_DETAILS = 4;

    /** Steps per unit in which rates are kept, so that sums of reports can be formed without rounding errors. */
    public static final int RATE_STEPS = 100;

    /** The report of a gateway without requests. */
    public static final DemandReport EMPTY = new DemandReport(List.of(), Map.of());

    /** @throws IllegalArgumentException if there are too many rows or a figure is negative */
    public DemandReport {
        services = List.copyOf(services);
        plainInFlight = Map.copyOf(plainInFlight);
        check("services", services.size(), MAX_SERVICES);
        check("plain servers", plainInFlight.size(), MAX_PLAIN_SERVERS);
        plainInFlight.values().forEach(count -> check("requests in flight", count, Integer.MAX_VALUE));
    }

    /** A report with details. */
    public DemandReport(List<ServiceDemand> services, Map<NameHash, Integer> plainInFlight) {
        this(services, plainInFlight, true);
    }

    /**
     * The demand for one service. Immutable, safe for use by any thread.
     *
     * @param service hash of the service's name
     * @param priorities rows by priority, each priority at most once
     * @param tokenLayers token-layers in use by the organisations that use most
     */
    public record ServiceDemand(NameHash service, List<PriorityDemand> priorities, Map<NameHash, Long> tokenLayers) {

        /** @throws IllegalArgumentException if there are too many rows or a figure is negative */
        public ServiceDemand {
            priorities = List.copyOf(priorities);
            tokenLayers = Map.copyOf(tokenLayers);
            check("priorities", priorities.size(), MAX_PRIORITIES);
            check("organisations", tokenLayers.size(), MAX_ORGANISATIONS);
            tokenLayers.values().forEach(inUse -> check("token-layers", inUse, Long.MAX_VALUE));
        }

        /** Requests received per second at all priorities. */
        public double arrivalsPerSecond() {
            return priorities.stream()
                    .mapToDouble(PriorityDemand::arrivalsPerSecond)
                    .sum();
        }

        private ServiceDemand withFewerOrganisations() {
            return new ServiceDemand(service, priorities, largest(tokenLayers, tokenLayers.size() / 2));
        }

        private ServiceDemand withoutDetails() {
            return new ServiceDemand(
                    service,
                    priorities.stream().map(PriorityDemand::withoutDetails).toList(),
                    Map.of());
        }
    }

    /**
     * The demand for one service at one priority. Immutable, safe for use by any thread.
     *
     * @param priority the priority; 0 is the most urgent
     * @param arrivalsPerSecond requests received per second, rounded to steps of 1/{@value #RATE_STEPS}
     * @param waiting requests that wait to be sent
     * @param tokenLayers token-layers in use: expected tokens times layers of the requests that are running
     * @param refusedPerSecond requests refused per second, rounded likewise
     */
    public record PriorityDemand(
            int priority, double arrivalsPerSecond, int waiting, long tokenLayers, double refusedPerSecond) {

        /** @throws IllegalArgumentException if a figure is negative */
        public PriorityDemand {
            check("arrivals", steps(arrivalsPerSecond), Long.MAX_VALUE);
            check("waiting requests", waiting, Integer.MAX_VALUE);
            check("token-layers", tokenLayers, Long.MAX_VALUE);
            check("refusals", steps(refusedPerSecond), Long.MAX_VALUE);
            arrivalsPerSecond = rate(steps(arrivalsPerSecond));
            refusedPerSecond = rate(steps(refusedPerSecond));
        }

        private PriorityDemand withoutDetails() {
            return new PriorityDemand(priority, arrivalsPerSecond, waiting, 0, 0);
        }

        /** The sum of both rows, at the priority of this one. */
        PriorityDemand plus(PriorityDemand other) {
            return new PriorityDemand(
                    priority,
                    arrivalsPerSecond + other.arrivalsPerSecond,
                    waiting + other.waiting,
                    tokenLayers + other.tokenLayers,
                    refusedPerSecond + other.refusedPerSecond);
        }
    }

    /** The number of steps of a rate. */
    public static long steps(double perSecond) {
        return Math.round(perSecond * RATE_STEPS);
    }

    /** The rate of a number of steps, per second. */
    public static double rate(long steps) {
        return steps / (double) RATE_STEPS;
    }

    /** The demand for a service; empty if the report has none. */
    public Optional<ServiceDemand> service(ServiceName service) {
        NameHash hash = NameHash.of(service);
        return services.stream().filter(row -> row.service().equals(hash)).findFirst();
    }

    /** The same report without capacity in use and refusals. */
    public DemandReport withoutDetails() {
        return new DemandReport(
                services.stream().map(ServiceDemand::withoutDetails).toList(), plainInFlight, false);
    }

    /**
     * A report with fewer rows, for a sender with little space. Leaves out the plain servers with the fewest requests,
     * then the organisations that use least, then the service with the fewest arrivals; no rows in the end.
     */
    public DemandReport reduced() {
        if (!plainInFlight.isEmpty()) {
            return new DemandReport(services, largest(plainInFlight, plainInFlight.size() / 2), detailed);
        }
        if (services.stream().anyMatch(service -> !service.tokenLayers().isEmpty())) {
            return new DemandReport(
                    services.stream().map(ServiceDemand::withFewerOrganisations).toList(), plainInFlight, detailed);
        }
        return new DemandReport(busiest(services, Math.max(0, services.size() - 1)), plainInFlight, detailed);
    }

    /** The services with the most arrivals. */
    static List<ServiceDemand> busiest(List<ServiceDemand> services, int limit) {
        return services.stream()
                .sorted(Comparator.comparingDouble(ServiceDemand::arrivalsPerSecond)
                        .reversed()
                        .thenComparing(ServiceDemand::service))
                .limit(limit)
                .toList();
    }

    /** The entries with the largest values. */
    static <K extends Comparable<K>, V extends Comparable<V>> Map<K, V> largest(Map<K, V> all, int limit) {
        return all.entrySet().stream()
                .sorted(Map.Entry.<K, V>comparingByValue().reversed().thenComparing(Map.Entry.comparingByKey()))
                .limit(limit)
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue, (one, two) -> one, HashMap::new));
    }

    /**
     * At most {@value #MAX_PRIORITIES} rows. Less urgent rows are added to the last one, where they count as more urgent
     * than they are: no demand is lost, and a reader reserves too much capacity rather than too little.
     */
    static List<PriorityDemand> merged(List<PriorityDemand> mostUrgentFirst) {
        List<PriorityDemand> rows = new ArrayList<>();
        for (PriorityDemand row : mostUrgentFirst) {
            if (rows.size() < MAX_PRIORITIES) {
                rows.add(row);
            } else {
                rows.set(MAX_PRIORITIES - 1, rows.get(MAX_PRIORITIES - 1).plus(row));
            }
        }
        return rows;
    }

    private static void check(String what, long value, long limit) {
        if (value < 0 || value > limit) {
            throw new IllegalArgumentException(
                    "The number of " + what + " in a demand report must be from 0 to " + limit + "; value=" + value);
        }
    }
}
