package org.cornelramp.core.admission;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.function.Function;
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
 *
 * <p>Capacity in use and refusals are the details of a report. They count from the last report that has them, for as long
 * as the peer is heard and for at most {@value DemandReport#REPORTS_PER_DETAILS} times its silence time.
 */
public final class FleetDemand {
    private static final TreeMap<Integer, Totals> NO_PRIORITIES = new TreeMap<>();

    private final PeerReports<Located> peers = new PeerReports<>();
    private final PeerReports<DemandReport> peerDetails = new PeerReports<>();
    private final Map<NameHash, TreeMap<Integer, Totals>> byPriority = new HashMap<>();
    private final Map<NameHash, Map<NameHash, Long>> byOrganisation = new HashMap<>();
    private final Map<NameHash, Map<DataCentre, Long>> arrivalsByDataCentre = new HashMap<>();
    private final Map<NameHash, Long> plainInFlight = new HashMap<>();
    private Located own;
    private long ownMillis;

    private record Located(String name, DemandReport report, DataCentre dataCentre) {}

    private record Totals(long arrivalSteps, long waiting, long tokenLayers, long refusalSteps) {
        static final Totals NONE = new Totals(0, 0, 0, 0);

        static Totals recent(PriorityDemand demand, int sign) {
            return new Totals(
                    sign * DemandReport.steps(demand.arrivalsPerSecond()), (long) sign * demand.waiting(), 0, 0);
        }

        static Totals details(PriorityDemand demand, int sign) {
            return new Totals(0, 0, sign * demand.tokenLayers(), sign * DemandReport.steps(demand.refusedPerSecond()));
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
        own = new Located("", report, dataCentre);
        ownMillis = nowMillis;
        addRecent(own, 1);
        addDetails(report, 1);
    }

    /** Removes the report of this gateway, which has ceased to build one. */
    public void removeOwn() {
        if (own != null) {
            addRecent(own, -1);
            addDetails(own.report(), -1);
            own = null;
        }
    }

    /**
     * Records the report of a peer, which replaces its previous one; a report without details leaves the previous ones.
     *
     * @param silenceMillis time for which the report counts unless the peer sends another
     */
    public void updatePeer(
            String name, DataCentre dataCentre, DemandReport report, long silenceMillis, long nowMillis) {
        Located received = new Located(name, report, dataCentre);
        peers.put(name, received, silenceMillis, nowMillis).ifPresent(previous -> addRecent(previous, -1));
        addRecent(received, 1);
        if (report.detailed()) {
            peerDetails
                    .put(name, report, DemandReport.REPORTS_PER_DETAILS * silenceMillis, nowMillis)
                    .ifPresent(previous -> addDetails(previous, -1));
            addDetails(report, 1);
        }
    }

    /** Removes the report of a peer, which has ceased to send one. */
    public void removePeer(String name) {
        peers.remove(name).ifPresent(previous -> addRecent(previous, -1));
        removeDetails(name);
    }

    private void removeDetails(String name) {
        peerDetails.remove(name).ifPresent(previous -> addDetails(previous, -1));
    }

    /**
     * Removes the peers whose reports have expired.
     *
     * @param lagMillis how late this process is; updates may have been waiting unread for that time
     */
    public void removeSilentPeers(long lagMillis, long nowMillis) {
        peers.removeSilent(lagMillis, nowMillis).forEach(silent -> {
            addRecent(silent, -1);
            removeDetails(silent.name());
        });
        peerDetails.removeSilent(lagMillis, nowMillis).forEach(expired -> addDetails(expired, -1));
    }

    /** Requests of a service received per second by all gateways at priorities more urgent than the given one. */
    public double arrivalsPerSecond(ServiceName service, int belowPriority) {
        return DemandReport.rate(priorities(service).headMap(belowPriority, false).values().stream()
                .mapToLong(Totals::arrivalSteps)
                .sum());
    }

    /** Requests of a service received per second by the gateways of a data centre, at any priority. */
    public double arrivalsPerSecond(ServiceName service, DataCentre dataCentre) {
        return DemandReport.rate(arrivalsByDataCentre
                .getOrDefault(NameHash.of(service), Map.of())
                .getOrDefault(dataCentre, 0L));
    }

    /**
     * An immutable copy of the requests received per second at any priority, by service and data centre; without a
     * service that receives none.
     */
    public Map<ServiceName, Map<DataCentre, Double>> arrivalsByDataCentre(Collection<ServiceName> services) {
        Map<ServiceName, Map<DataCentre, Double>> copy = new HashMap<>();
        for (ServiceName service : services) {
            Map<DataCentre, Double> rates = new HashMap<>();
            arrivalsByDataCentre
                    .getOrDefault(NameHash.of(service), Map.of())
                    .forEach((at, steps) -> rates.put(at, DemandReport.rate(steps)));
            if (!rates.isEmpty()) {
                copy.put(service, Map.copyOf(rates));
            }
        }
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
        return byOrganisation.getOrDefault(NameHash.of(service), Map.of()).getOrDefault(NameHash.of(organisation), 0L);
    }

    /** The part of {@link #inUse(ServiceName, OrganisationId)} that requests of the peers use. */
    public long peersInUse(ServiceName service, OrganisationId organisation) {
        long ownUse = own == null
                ? 0
                : own.report()
                        .service(service)
                        .map(demand -> demand.tokenLayers().getOrDefault(NameHash.of(organisation), 0L))
                        .orElse(0L);
        return inUse(service, organisation) - ownUse;
    }

    /** Requests of all gateways in flight at a plain server. */
    public long plainInFlight(BackendServerId server) {
        return plainInFlight.getOrDefault(NameHash.of(server), 0L);
    }

    /** Requests of the peers in flight at a plain server, for a caller that knows its own more recent number. */
    public long peersPlainInFlight(BackendServerId server) {
        NameHash hash = NameHash.of(server);
        int ownCount = own == null ? 0 : own.report().plainInFlight().getOrDefault(hash, 0);
        return plainInFlight.getOrDefault(hash, 0L) - ownCount;
    }

    /** Number of peers whose report counts. */
    public int peerCount() {
        return peers.size();
    }

    /** Age of the oldest details of a peer that count, in milliseconds; 0 if there are none. */
    public long oldestDetailsAgeMillis(long nowMillis) {
        return peerDetails.oldestAgeMillis(nowMillis);
    }

    /** Age of the oldest report that counts, in milliseconds; 0 if there is none. Details may be older. */
    public long oldestAgeMillis(long nowMillis) {
        return Math.max(own == null ? 0 : nowMillis - ownMillis, peers.oldestAgeMillis(nowMillis));
    }

    private NavigableMap<Integer, Totals> priorities(ServiceName service) {
        return byPriority.getOrDefault(NameHash.of(service), NO_PRIORITIES);
    }

    private Totals totals(ServiceName service, int priority) {
        return priorities(service).getOrDefault(priority, Totals.NONE);
    }

    private void addRecent(Located received, int sign) {
        DemandReport report = received.report();
        for (ServiceDemand demand : report.services()) {
            addTotals(demand, row -> Totals.recent(row, sign));
            long arrivalSteps = demand.priorities().stream()
                    .mapToLong(row -> DemandReport.steps(row.arrivalsPerSecond()))
                    .sum();
            addTo(arrivalsByDataCentre, demand.service(), received.dataCentre(), sign * arrivalSteps);
        }
        report.plainInFlight().forEach((server, count) -> addTo(plainInFlight, server, (long) sign * count));
    }

    private void addDetails(DemandReport report, int sign) {
        for (ServiceDemand demand : report.services()) {
            addTotals(demand, row -> Totals.details(row, sign));
            demand.tokenLayers()
                    .forEach((organisation, tokenLayers) ->
                            addTo(byOrganisation, demand.service(), organisation, sign * tokenLayers));
        }
    }

    private void addTotals(ServiceDemand demand, Function<PriorityDemand, Totals> figures) {
        TreeMap<Integer, Totals> totals = byPriority.computeIfAbsent(demand.service(), any -> new TreeMap<>());
        for (PriorityDemand row : demand.priorities()) {
            Totals change = figures.apply(row);
            if (!change.equals(Totals.NONE)) {
                totals.merge(row.priority(), change, Totals::plus);
            }
        }
        if (totals.isEmpty()) {
            byPriority.remove(demand.service());
        }
    }

    private static <K> void addTo(Map<NameHash, Map<K, Long>> sums, NameHash service, K key, long change) {
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
