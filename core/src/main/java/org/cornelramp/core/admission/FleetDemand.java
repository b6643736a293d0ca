package org.cornelramp.core.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.cornelramp.core.admission.DemandReport.PriorityDemand;
import org.cornelramp.core.admission.DemandReport.ServiceDemand;
import org.cornelramp.core.member.PeerReports;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.model.OrganisationId;
import org.cornelramp.core.model.ServiceName;

/**
 * The demand at this gateway and its peers, summed. Owned by one thread.
 *
 * <p>Invariant: the totals equal the sum of this gateway's last report and the last report of each peer that has not
 * been removed. They are kept up to date with each report, in integers, so that a query costs the same with any number
 * of peers and no rounding error accumulates. A gateway without peers knows its own demand only.
 */
public final class FleetDemand {
    private static final TreeMap<Integer, Totals> NO_PRIORITIES = new TreeMap<>();

    private final PeerReports<Located> peers = new PeerReports<>();
    private final Map<ServiceName, TreeMap<Integer, Totals>> byPriority = new HashMap<>();
    private final Map<ServiceName, Map<OrganisationId, Long>> byOrganisation = new HashMap<>();
    private final Map<ServiceName, Map<DataCentre, Long>> arrivalsByDataCentre = new HashMap<>();
    private final Map<BackendServerId, Long> plainInFlight = new HashMap<>();
    private Located own;
    private long ownMillis;

    private record Located(DemandReport report, DataCentre dataCentre) {}

    private record Totals(long arrivalSteps, long waiting, long tokenLayers, long refusalSteps) {
        static final Totals NONE = new Totals(0, 0, 0, 0);

        static Totals of(PriorityDemand demand, int sign) {
            return new Totals(
                    sign * DemandReport.steps(demand.arrivalsPerSecond()),
                    (long) sign * demand.waiting(),
                    sign * demand.tokenLayers(),
                    sign * DemandReport.steps(demand.refusedPerSecond()));
        }

        /** The sum; null if it is zero, so that a map drops it. */
        Totals plus(Totals other) {
            Totals sum = new Totals(
                    arrivalSteps + other.arrivalSteps,
                    waiting + other.waiting,
                    tokenLayers + other.tokenLayers,
                    refusalSteps + other.refusalSteps);
            return sum.equals(NONE) ? null : sum;
        }
    }

    /** Records the report of this gateway, which replaces its previous one. */
    public void updateOwn(DemandReport report, DataCentre dataCentre, long nowMillis) {
        removeOwn();
        own = new Located(report, dataCentre);
        ownMillis = nowMillis;
        add(own, 1);
    }

    /** Removes the report of this gateway, which has ceased to build one. */
    public void removeOwn() {
        if (own != null) {
            add(own, -1);
            own = null;
        }
    }

    /**
     * Records the report of a peer, which replaces its previous one.
     *
     * @param silenceMillis time for which the report counts unless the peer sends another
     */
    public void updatePeer(
            String name, DataCentre dataCentre, DemandReport report, long silenceMillis, long nowMillis) {
        Located received = new Located(report, dataCentre);
        peers.put(name, received, silenceMillis, nowMillis).ifPresent(previous -> add(previous, -1));
        add(received, 1);
    }

    /** Removes the report of a peer, which has ceased to send one. */
    public void removePeer(String name) {
        peers.remove(name).ifPresent(previous -> add(previous, -1));
    }

    /**
     * Removes the peers whose reports have expired.
     *
     * @param lagMillis how late this process is; updates may have been waiting unread for that time
     */
    public void removeSilentPeers(long lagMillis, long nowMillis) {
        peers.removeSilent(lagMillis, nowMillis).forEach(silent -> add(silent, -1));
    }

    /** Requests of a service received per second by all gateways at priorities more urgent than the given one. */
    public double arrivalsPerSecond(ServiceName service, int belowPriority) {
        return DemandReport.rate(priorities(service).headMap(belowPriority, false).values().stream()
                .mapToLong(Totals::arrivalSteps)
                .sum());
    }

    /** Requests of a service received per second by the gateways of a data centre, at any priority. */
    public double arrivalsPerSecond(ServiceName service, DataCentre dataCentre) {
        return DemandReport.rate(
                arrivalsByDataCentre.getOrDefault(service, Map.of()).getOrDefault(dataCentre, 0L));
    }

    /**
     * An immutable copy of the requests received per second at any priority, by service and data centre; without a
     * service that receives none.
     */
    public Map<ServiceName, Map<DataCentre, Double>> arrivalsByDataCentre() {
        Map<ServiceName, Map<DataCentre, Double>> copy = new HashMap<>();
        arrivalsByDataCentre.forEach((service, steps) -> {
            Map<DataCentre, Double> rates = new HashMap<>();
            steps.forEach((at, count) -> rates.put(at, DemandReport.rate(count)));
            copy.put(service, Map.copyOf(rates));
        });
        return Map.copyOf(copy);
    }

    /** Requests of a service and priority that wait at all gateways. */
    public long waiting(ServiceName service, int priority) {
        return totals(service, priority).waiting();
    }

    /** Requests of a service and priority that all gateways refuse per second. */
    public double refusedPerSecond(ServiceName service, int priority) {
        return DemandReport.rate(totals(service, priority).refusalSteps());
    }

    /** Token-layers that all gateways' requests of a service and priority use. */
    public long inUse(ServiceName service, int priority) {
        return totals(service, priority).tokenLayers();
    }

    /**
     * Token-layers that an organisation's requests to a service use at all gateways. Each report names only the
     * organisations that use most at its gateway, so the sum may be too low for one that uses little.
     */
    public long inUse(ServiceName service, OrganisationId organisation) {
        return byOrganisation.getOrDefault(service, Map.of()).getOrDefault(organisation, 0L);
    }

    /** The part of {@link #inUse(ServiceName, OrganisationId)} that requests of the peers use. */
    public long peersInUse(ServiceName service, OrganisationId organisation) {
        long ownUse = own == null
                ? 0
                : own.report().services().stream()
                        .filter(demand -> demand.service().equals(service))
                        .mapToLong(demand -> demand.tokenLayers().getOrDefault(organisation, 0L))
                        .sum();
        return inUse(service, organisation) - ownUse;
    }

    /** Requests of all gateways in flight at a plain server. */
    public long plainInFlight(BackendServerId server) {
        return plainInFlight.getOrDefault(server, 0L);
    }

    /** Requests of the peers in flight at a plain server, for a caller that knows its own more recent number. */
    public long peersPlainInFlight(BackendServerId server) {
        int ownCount = own == null ? 0 : own.report().plainInFlight().getOrDefault(server, 0);
        return plainInFlight(server) - ownCount;
    }

    /** Number of peers whose report counts. */
    public int peerCount() {
        return peers.size();
    }

    /** Age of the oldest report that counts, in milliseconds; 0 if there is none. */
    public long oldestAgeMillis(long nowMillis) {
        return Math.max(own == null ? 0 : nowMillis - ownMillis, peers.oldestAgeMillis(nowMillis));
    }

    private NavigableMap<Integer, Totals> priorities(ServiceName service) {
        return byPriority.getOrDefault(service, NO_PRIORITIES);
    }

    private Totals totals(ServiceName service, int priority) {
        return priorities(service).getOrDefault(priority, Totals.NONE);
    }

    private void add(Located received, int sign) {
        DemandReport report = received.report();
        for (ServiceDemand demand : report.services()) {
            addPriorities(demand, received.dataCentre(), sign);
            demand.tokenLayers()
                    .forEach((organisation, tokenLayers) ->
                            addTo(byOrganisation, demand.service(), organisation, sign * tokenLayers));
        }
        report.plainInFlight().forEach((server, count) -> addTo(plainInFlight, server, (long) sign * count));
    }

    private void addPriorities(ServiceDemand demand, DataCentre dataCentre, int sign) {
        TreeMap<Integer, Totals> totals = byPriority.computeIfAbsent(demand.service(), any -> new TreeMap<>());
        long arrivalSteps = 0;
        for (PriorityDemand row : demand.priorities()) {
            Totals change = Totals.of(row, sign);
            if (!change.equals(Totals.NONE)) {
                totals.merge(row.priority(), change, Totals::plus);
                arrivalSteps += change.arrivalSteps();
            }
        }
        if (totals.isEmpty()) {
            byPriority.remove(demand.service());
        }
        addTo(arrivalsByDataCentre, demand.service(), dataCentre, arrivalSteps);
    }

    private static <K> void addTo(Map<ServiceName, Map<K, Long>> sums, ServiceName service, K key, long change) {
        Map<K, Long> byKey = sums.computeIfAbsent(service, any -> new HashMap<>());
        addTo(byKey, key, change);
        if (byKey.isEmpty()) {
            sums.remove(service);
        }
    }

    private static <K> void addTo(Map<K, Long> sums, K key, long change) {
        if (change != 0) {
            sums.merge(key, change, (one, other) -> one + other == 0 ? null : Long.valueOf(one + other));
        }
    }
}
