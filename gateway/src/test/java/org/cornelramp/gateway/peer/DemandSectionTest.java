package org.cornelramp.gateway.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.cornelramp.core.admission.DemandReport;
import org.cornelramp.core.admission.DemandReport.PriorityDemand;
import org.cornelramp.core.admission.DemandReport.ServiceDemand;
import org.cornelramp.core.admission.NameHash;
import org.cornelramp.core.member.GatewayStatus;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.model.OrganisationId;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.core.path.PrefixSketch;
import org.cornelramp.core.retry.RetryLoanUpdate;
import org.cornelramp.gateway.peer.DemandSection.Extent;
import org.testng.annotations.Test;

/** Encoding and decoding of the demand in updates between gateways, intact and damaged. */
public class DemandSectionTest {
    private static final PeerUpdate WITHOUT_DEMAND = PeerUpdate.of(
            new PeerUpdate.Sender("g1", 7, new DataCentre("dc1")),
            9,
            false,
            Map.of(),
            4,
            Map.of(),
            Set.of(),
            RetryLoanUpdate.NONE);
    private static final GatewayStatus STATUS = new GatewayStatus(0.27, 1.25, false);

    /** Rounded figures are limited to about this; it is the capacity that 49,000 prompts of 900 tokens use. */
    private static final double LARGEST_ROUNDED = 3.6e9;

    private static DemandReport report(int services, int organisations, int servers, String pad, int figure) {
        List<PriorityDemand> rows = IntStream.range(0, DemandReport.MAX_PRIORITIES)
                .mapToObj(priority -> new PriorityDemand(priority, 47.9, figure, 100_000L * figure, 0.25))
                .toList();
        Map<NameHash, Long> inUse = IntStream.range(0, organisations)
                .boxed()
                .collect(Collectors.toMap(
                        i -> NameHash.of(new OrganisationId("o" + i + pad)), i -> 10_000L * figure + i));
        Map<NameHash, Integer> inFlight = IntStream.range(0, servers)
                .boxed()
                .collect(Collectors.toMap(i -> NameHash.of(new BackendServerId("s" + i + pad)), i -> figure + i));
        return new DemandReport(
                IntStream.range(0, services)
                        .mapToObj(i -> new ServiceDemand(NameHash.of(new ServiceName("llm" + i + pad)), rows, inUse))
                        .toList(),
                inFlight);
    }

    private static DemandSection section(DemandReport report) {
        return new DemandSection(Optional.of(report), 5, Optional.of(STATUS));
    }

    private static PeerUpdate sentAndRead(PeerUpdate update) {
        byte[] bytes = PeerUpdateCodec.write(update);
        return PeerUpdateCodec.read(bytes, bytes.length).get();
    }

    /**
     * Compares all figures exactly, except for capacity in use and refusals, which are rounded by up to 4.4% and to whole
     * numbers and hundredths.
     */
    private static void assertRead(DemandSection read, DemandSection written) {
        assertEquals(read.limitedTo(Extent.RECENT), written.limitedTo(Extent.RECENT));
        assertEquals(read.report().map(DemandReport::detailed), written.report().map(DemandReport::detailed));
        if (written.report().isEmpty()) {
            return;
        }
        List<ServiceDemand> services = read.report().get().services();
        for (int i = 0; i < services.size(); i++) {
            ServiceDemand expected = written.report().get().services().get(i);
            Map<NameHash, Long> inUse = services.get(i).tokenLayers();
            assertEquals(inUse.keySet(), expected.tokenLayers().keySet());
            expected.tokenLayers()
                    .forEach((organisation, value) -> assertClose((double) inUse.get(organisation), (double) value));
            for (int j = 0; j < expected.priorities().size(); j++) {
                PriorityDemand row = services.get(i).priorities().get(j);
                assertClose((double) row.tokenLayers(), (double)
                        expected.priorities().get(j).tokenLayers());
                assertClose((double) DemandReport.steps(row.refusedPerSecond()), (double)
                        DemandReport.steps(expected.priorities().get(j).refusedPerSecond()));
            }
        }
    }

    private static void assertClose(double read, double written) {
        double expected = Math.min(written, LARGEST_ROUNDED);
        assertEquals(read, expected, 0.045 * expected + 0.5);
    }

    @Test
    public void readsWhatWasWritten() {
        for (DemandSection section : List.of(
                section(report(2, 8, 3, "", 3)),
                section(report(6, 8, 32, "", 20_000)).limitedTo(Extent.RECENT),
                section(report(2, 8, 3, "", 3)).limitedTo(Extent.OMITTED),
                new DemandSection(Optional.of(DemandReport.EMPTY), 1_499, Optional.empty()),
                new DemandSection(Optional.empty(), 0, Optional.of(STATUS)))) {
            PeerUpdate update = WITHOUT_DEMAND.withDemandSection(section);
            assertEquals(PeerUpdateCodec.write(update)[0], 10);
            PeerUpdate read = sentAndRead(update);
            assertRead(read.demandSection(), section);
            assertEquals(read.withDemandSection(section), update);
            assertEquals(
                    sentAndRead(update.withoutLoads()), update.withoutLoads().withDemandSection(read.demandSection()));
        }
    }

    /** Guards against figures of zero or of any size that the rounding to a byte changes by more than a twentieth. */
    @Test
    public void roundedFiguresAreClose() {
        SplittableRandom random = new SplittableRandom(3);
        for (int run = 0; run < 2_000; run++) {
            long figure = run == 0 ? 0 : random.nextLong(1L << random.nextInt(1, 31));
            ServiceDemand demand = new ServiceDemand(
                    NameHash.of(new ServiceName("llm")),
                    List.of(new PriorityDemand(99, figure / 100.0, (int) figure, figure, figure / 100.0)),
                    Map.of());
            DemandSection section = section(new DemandReport(List.of(demand), Map.of()));
            assertRead(sentAndRead(WITHOUT_DEMAND.withDemandSection(section)).demandSection(), section);
        }
    }

    /** Guards against gateways of the previous build that do not hear those of this build, which need no demand. */
    @Test
    public void updateWithoutDemandHasThePreviousFormat() {
        assertEquals(PeerUpdateCodec.write(WITHOUT_DEMAND)[0], 9);
        assertEquals(sentAndRead(WITHOUT_DEMAND), WITHOUT_DEMAND);
    }

    /** Guards against updates that do not fit into a datagram, whatever the names and figures. */
    @Test
    public void largestSectionIsBounded() throws IOException {
        DemandReport largest = report(
                DemandReport.MAX_SERVICES,
                DemandReport.MAX_ORGANISATIONS,
                DemandReport.MAX_PLAIN_SERVERS,
                "n".repeat(60),
                1_000_000_000);
        assertTrue(DemandSectionCodec.write(section(largest)).length < 1_400);
        assertRead(
                sentAndRead(WITHOUT_DEMAND.withDemandSection(section(largest))).demandSection(), section(largest));
        List<ServiceDemand> impossible = largest.services().stream()
                .map(service -> new ServiceDemand(
                        service.service(),
                        service.priorities().stream()
                                .map(row -> new PriorityDemand(row.priority(), 1e16, Integer.MAX_VALUE, 1, 1e16))
                                .toList(),
                        service.tokenLayers()))
                .toList();
        DemandSection tooLarge = section(new DemandReport(impossible, largest.plainInFlight()));
        assertTrue(DemandSectionCodec.write(tooLarge).length < 1_400);
        assertTrue(sentAndRead(WITHOUT_DEMAND.withDemandSection(tooLarge))
                        .demandSection()
                        .report()
                        .get()
                        .services()
                        .size()
                >= DemandReport.MAX_SERVICES - 1);
    }

    /** Guards against a sketch that does not arrive, that exceeds its bound, or that pushes a section over its own. */
    @Test
    public void sketchIsReadAsWritten() throws IOException {
        Map<Integer, Integer> engines =
                IntStream.range(0, 38).boxed().collect(Collectors.toMap(i -> i * 77_777_777, i -> 255));
        PrefixSketch sketch = new PrefixSketch(Map.of(-1, engines, -2, Map.of(0, 255, 77_777_777, 255)));
        assertTrue(sketch.encode().length > PrefixSketch.MAX_BYTES - 60);
        DemandSection alone = DemandSection.NONE.withPrefixes(sketch).withInterval(5);
        assertEquals(sentAndRead(WITHOUT_DEMAND.withDemandSection(alone)).demandSection(), alone);
        byte[] without = PeerUpdateCodec.write(
                WITHOUT_DEMAND.withDemandSection(new DemandSection(Optional.empty(), 40, Optional.of(STATUS))));
        byte[] with = PeerUpdateCodec.write(WITHOUT_DEMAND.withDemandSection(
                new DemandSection(Optional.empty(), 40, Optional.of(STATUS), sketch, false)));
        assertTrue(with.length - without.length <= 300, "bytes " + (with.length - without.length));
        DemandSection omitted =
                section(report(1, 8, 3, "", 3)).withPrefixes(sketch).limitedTo(Extent.OMITTED);
        assertEquals(sentAndRead(WITHOUT_DEMAND.withDemandSection(omitted)).demandSection(), omitted);
        DemandReport largest = report(DemandReport.MAX_SERVICES, DemandReport.MAX_ORGANISATIONS, 32, "n".repeat(60), 9);
        DemandSection full = section(largest).withPrefixes(sketch);
        assertTrue(DemandSectionCodec.write(full).length < 1_400);
        assertEquals(
                sentAndRead(WITHOUT_DEMAND.withDemandSection(full))
                        .demandSection()
                        .prefixes(),
                sketch);
    }

    /** Guards against a gateway that a truncated or altered datagram stops, or that takes over impossible figures. */
    @Test
    public void damagedSectionIsReportedWithoutAnException() {
        byte[] bytes = PeerUpdateCodec.write(WITHOUT_DEMAND.withDemandSection(section(report(2, 8, 3, "", 3))));
        for (int length = 0; length < bytes.length; length++) {
            assertTrue(
                    PeerUpdateCodec.read(Arrays.copyOf(bytes, length), length).isLeft());
        }
        SplittableRandom random = new SplittableRandom(10);
        for (int run = 0; run < 20_000; run++) {
            byte[] altered = bytes.clone();
            for (int i = 0; i < 3; i++) {
                altered[1 + random.nextInt(bytes.length - 1)] = (byte) random.nextInt(256);
            }
            PeerUpdateCodec.read(altered, altered.length)
                    .map(PeerUpdate::demandSection)
                    .forEach(section -> section.status()
                            .ifPresent(status -> assertTrue(status.load() >= 0 && status.capacityCores() >= 0)));
        }
    }
}
