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
import org.cornelramp.core.member.GatewayStatus;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.model.OrganisationId;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.core.path.PrefixSketch;
import org.cornelramp.core.retry.RetryLoanUpdate;
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

    private static DemandReport report(int services, int organisations, int servers, String pad, int figure) {
        List<PriorityDemand> rows = IntStream.range(0, DemandReport.MAX_PRIORITIES)
                .mapToObj(priority -> new PriorityDemand(priority, 47.9, figure, 100_000L * figure, 0.25))
                .toList();
        Map<OrganisationId, Long> inUse = IntStream.range(0, organisations)
                .boxed()
                .collect(Collectors.toMap(i -> new OrganisationId("o" + i + pad), i -> 10_000L * figure + i));
        Map<BackendServerId, Integer> inFlight = IntStream.range(0, servers)
                .boxed()
                .collect(Collectors.toMap(i -> new BackendServerId("s" + i + pad), i -> figure + i));
        return new DemandReport(
                IntStream.range(0, services)
                        .mapToObj(i -> new ServiceDemand(new ServiceName("llm" + i + pad), rows, inUse))
                        .toList(),
                inFlight);
    }

    private static DemandSection section(DemandReport report) {
        return new DemandSection(Optional.of(report), 40, Optional.of(STATUS));
    }

    private static PeerUpdate sentAndRead(PeerUpdate update) {
        byte[] bytes = PeerUpdateCodec.write(update);
        return PeerUpdateCodec.read(bytes, bytes.length).get();
    }

    @Test
    public void readsWhatWasWritten() {
        for (DemandSection section : List.of(
                section(report(2, 8, 3, "", 3)),
                new DemandSection(Optional.of(DemandReport.EMPTY), 1_499, Optional.empty()),
                new DemandSection(Optional.empty(), 0, Optional.of(STATUS)))) {
            PeerUpdate update = WITHOUT_DEMAND.withDemandSection(section);
            assertEquals(PeerUpdateCodec.write(update)[0], 10);
            assertEquals(sentAndRead(update), update);
            assertEquals(sentAndRead(update.withoutLoads()), update.withoutLoads());
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
        DemandReport read = sentAndRead(WITHOUT_DEMAND.withDemandSection(section(largest)))
                .demandSection()
                .report()
                .get();
        assertTrue(
                read.services().size() >= DemandReport.MAX_SERVICES - 1,
                "services " + read.services().size());
        // With names of usual length, only one service's organisations and all plain servers fit without a loss.
        DemandReport usual = report(1, DemandReport.MAX_ORGANISATIONS, DemandReport.MAX_PLAIN_SERVERS, "-3f2a7c", 40);
        assertEquals(
                sentAndRead(WITHOUT_DEMAND.withDemandSection(section(usual))).demandSection(), section(usual));
    }

    /** Guards against a sketch that does not arrive, that exceeds its bound, or that pushes a section over its own. */
    @Test
    public void sketchIsReadAsWritten() throws IOException {
        Map<Integer, Integer> engines =
                IntStream.range(0, 38).boxed().collect(Collectors.toMap(i -> i * 77_777_777, i -> 255));
        PrefixSketch sketch = new PrefixSketch(Map.of(-1, engines, -2, Map.of(0, 255, 77_777_777, 255)));
        assertTrue(sketch.encode().length > PrefixSketch.MAX_BYTES - 60);
        DemandSection alone = DemandSection.NONE.withPrefixes(sketch).withRecipients(40);
        assertEquals(sentAndRead(WITHOUT_DEMAND.withDemandSection(alone)).demandSection(), alone);
        byte[] without = PeerUpdateCodec.write(
                WITHOUT_DEMAND.withDemandSection(new DemandSection(Optional.empty(), 40, Optional.of(STATUS))));
        byte[] with = PeerUpdateCodec.write(
                WITHOUT_DEMAND.withDemandSection(new DemandSection(Optional.empty(), 40, Optional.of(STATUS), sketch)));
        assertTrue(with.length - without.length <= 300, "bytes " + (with.length - without.length));
        assertEquals(Arrays.copyOf(with, without.length), without, "earlier gateways ignore what follows");
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
