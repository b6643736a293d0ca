package org.cornelramp.gateway.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.cornelramp.core.admission.DemandReport;
import org.cornelramp.core.admission.DemandReport.PriorityDemand;
import org.cornelramp.core.admission.DemandReport.ServiceDemand;
import org.cornelramp.core.admission.NameHash;
import org.cornelramp.core.member.GatewayStatus;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.OrganisationId;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.core.path.PrefixSketch;
import org.cornelramp.gateway.peer.DemandSection.Extent;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Bytes per second and ages of demand reports in fleets of 4 to 1,500 gateways. */
public class DemandPacingTest {
    private static final int RUN_MILLIS = 1_200_000;

    /** Ranks of the three streaming routes of deployment K, without priorities of organisations. */
    private static final List<Integer> RANKS_OF_K = List.of(0, 11, 22);

    private static final List<Integer> RANKS_OF_V = List.of(11);

    /** Ranks where organisations have priorities, too. */
    private static final List<Integer> ALL_RANKS = List.of(0, 1, 2, 10, 11, 12, 20, 22);

    /** A gateway with bursts in progress, 8 organisations and requests at three plain servers. */
    private static DemandReport report(List<Integer> ranks) {
        List<PriorityDemand> rows = ranks.stream()
                .map(rank -> new PriorityDemand(rank, 30.25, 100, 73_040L * 40, 12.5))
                .toList();
        Map<NameHash, Long> organisations = IntStream.range(0, DemandReport.MAX_ORGANISATIONS)
                .boxed()
                .collect(Collectors.toMap(i -> NameHash.of(new OrganisationId("o" + i)), i -> 73_040L * i));
        Map<NameHash, Integer> servers = IntStream.range(0, 3)
                .boxed()
                .collect(Collectors.toMap(i -> NameHash.of(new BackendServerId("records-" + i)), i -> 6 + i));
        return new DemandReport(
                List.of(
                        new ServiceDemand(NameHash.of(new ServiceName("llm")), rows, organisations),
                        new ServiceDemand(
                                NameHash.of(new ServiceName("records")),
                                List.of(new PriorityDemand(22, 30.25, 12, 0, 12.5)),
                                Map.of())),
                servers);
    }

    private static DemandSection section(List<Integer> ranks) {
        return new DemandSection(Optional.of(report(ranks)), 0, Optional.of(new GatewayStatus(1.5, 12.345, true)));
    }

    /** What one gateway sent. */
    private static final class Sender {
        private final DemandPacing<Integer> pacing = new DemandPacing<>();
        private final PeerRotation rotation = new PeerRotation();
        private final Set<Integer> peers;
        private final Map<Integer, Integer> lastReport = new HashMap<>();
        private final Map<Integer, Integer> lastDetails = new HashMap<>();
        private long bytes;
        private int longestInterval;
        private int longestDetailsInterval;
        private int statedInterval;

        Sender(int gateways) {
            peers = IntStream.range(1, gateways).boxed().collect(Collectors.toCollection(LinkedHashSet::new));
        }

        /** @param roundsPerUrgent every how many rounds an update goes to all peers */
        void run(DemandSection section, int roundsPerUrgent, boolean readsForAll) {
            int rounds = RUN_MILLIS / PeerRotation.ROUND_MILLIS;
            for (int round = 1; round <= rounds; round++) {
                List<Integer> selected = rotation.select(peers, round % roundsPerUrgent == 0, readsForAll);
                DemandPacing.Plan<Integer> plan =
                        pacing.plan(section, selected, peers, (long) round * PeerRotation.ROUND_MILLIS);
                statedInterval = plan.section().intervalRounds();
                Map<Extent, Integer> sizes = new EnumMap<>(Extent.class);
                for (int peer : selected) {
                    Extent extent = plan.extent(peer);
                    bytes += sizes.computeIfAbsent(
                            extent,
                            any -> DemandSectionCodec.size(plan.section().limitedTo(any)));
                    if (extent != Extent.OMITTED) {
                        longestInterval = Math.max(longestInterval, round - lastReport.getOrDefault(peer, 0));
                        lastReport.put(peer, round);
                    }
                    if (extent == Extent.ALL) {
                        longestDetailsInterval =
                                Math.max(longestDetailsInterval, round - lastDetails.getOrDefault(peer, 0));
                        lastDetails.put(peer, round);
                    }
                }
            }
        }

        double bytesPerSecond() {
            return bytes * 1_000.0 / RUN_MILLIS;
        }
    }

    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {{4}, {24}, {41}, {300}, {1_500}};
    }

    /**
     * Guards against reports that take more than 4 KB/s for each gateway, with the largest contents of the deployments,
     * and against figures that are then older than they need to be: each turn of a peer has a report.
     */
    @Test(dataProvider = "sizes")
    public void reportsOfTheDeploymentsFitTheBudgetInEachTurn(int gateways) {
        for (List<Integer> ranks : List.of(RANKS_OF_K, RANKS_OF_V)) {
            Sender sender = new Sender(gateways);
            sender.run(section(ranks), Integer.MAX_VALUE, false);
            String run = gateways + " gateways, " + ranks.size() + " ranks: ";
            int turn = PeerRotation.roundsToAll(gateways - 1);
            System.getLogger(getClass().getName())
                    .log(
                            System.Logger.Level.INFO,
                            run + sender.bytesPerSecond() + " bytes/s, longest interval " + sender.longestInterval
                                    + " rounds, of details " + sender.longestDetailsInterval);
            assertTrue(sender.bytesPerSecond() <= 4_000, run + sender.bytesPerSecond());
            assertEquals(sender.statedInterval, turn, run);
            assertEquals(sender.longestInterval, turn, run);
            assertTrue(
                    sender.longestDetailsInterval <= (DemandReport.REPORTS_PER_DETAILS + 1) * turn,
                    run + "details after " + sender.longestDetailsInterval);
        }
    }

    /**
     * Guards against larger reports, urgent updates to all peers or a gateway that reads for all that exceed the budget,
     * and against peers that get no report within the interval that is stated to them.
     */
    @Test(dataProvider = "sizes")
    public void budgetHoldsForLargerReportsAndMoreUpdates(int gateways) {
        for (List<Integer> ranks : List.of(RANKS_OF_K, ALL_RANKS)) {
            for (boolean readsForAll : List.of(false, true)) {
                Sender sender = new Sender(gateways);
                sender.run(section(ranks), 8, readsForAll);
                String run = gateways + " gateways, " + ranks.size() + " ranks, reads for all " + readsForAll + ": ";
                // One round may be saved up, and one report may exceed what is left.
                double burst = (480 + DemandSectionCodec.MAX_BYTES) * 1_000.0 / RUN_MILLIS;
                assertTrue(sender.bytesPerSecond() <= 4_000 + burst, run + sender.bytesPerSecond());
                assertEquals(sender.lastReport.size(), gateways - 1, run);
            }
            Sender sender = new Sender(gateways);
            sender.run(section(ranks), Integer.MAX_VALUE, false);
            String run = gateways + " gateways, " + ranks.size() + " ranks, no urgent updates: ";
            System.getLogger(getClass().getName())
                    .log(
                            System.Logger.Level.INFO,
                            run + sender.bytesPerSecond() + " bytes/s, longest interval " + sender.longestInterval
                                    + " rounds, of details " + sender.longestDetailsInterval);
            assertTrue(sender.longestInterval <= sender.statedInterval, run + sender.longestInterval);
            assertTrue(
                    sender.longestDetailsInterval <= (DemandReport.REPORTS_PER_DETAILS + 1) * sender.statedInterval,
                    run + "details after " + sender.longestDetailsInterval);
        }
    }

    /** Guards against a gateway without reports that limits its other sections. */
    @Test
    public void sectionWithoutFiguresIsNotLimited() {
        DemandPacing<Integer> pacing = new DemandPacing<>();
        Set<Integer> peers = IntStream.range(0, 20).boxed().collect(Collectors.toSet());
        assertEquals(pacing.plan(DemandSection.NONE, peers, peers, 0).section(), DemandSection.NONE);
        DemandSection prefixes = DemandSection.NONE.withPrefixes(new PrefixSketch(Map.of(1, Map.of(2, 3))));
        DemandPacing.Plan<Integer> plan = pacing.plan(prefixes, peers, peers, 0);
        assertEquals(plan.section(), prefixes.withInterval(3));
        peers.forEach(peer -> assertEquals(plan.section().limitedTo(plan.extent(peer)), plan.section()));
    }
}
