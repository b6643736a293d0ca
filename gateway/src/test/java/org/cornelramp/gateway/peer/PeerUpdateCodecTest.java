package org.cornelramp.gateway.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cornelramp.core.limit.RateLimitUpdate;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.core.path.EngineLoads;
import org.cornelramp.core.poison.PoisonUpdate;
import org.cornelramp.core.retry.RetryLoanUpdate;
import org.cornelramp.core.settings.HostPort;
import org.cornelramp.gateway.follow.ReadCoordinator;
import org.testng.annotations.Test;

/** Encoding and decoding of updates between gateways, intact and damaged. */
public class PeerUpdateCodecTest {
    private static final BackendServerId ID = new BackendServerId("i-1");
    private static final ServiceName SERVICE = new ServiceName("llm");
    private static final HostPort ADDRESS = new HostPort("10.0.0.1", 7_000);
    private static final PeerUpdate UPDATE = new PeerUpdate(
            new PeerUpdate.Sender("g1", 7, new DataCentre("dc1")),
            9,
            true,
            Optional.of(Map.of(ID, new EngineLoads.Load(3, 1, 50_000, 772))),
            4,
            Map.of(ID, 2.5),
            Set.of(ID),
            new RetryLoanUpdate(
                    Map.of(SERVICE, new RetryLoanUpdate.LoanRequest(1L << 60, 3)),
                    Map.of(SERVICE, List.of(new RetryLoanUpdate.Loan("g2", -5, 2)))),
            List.of(ADDRESS),
            Optional.of(new ReadCoordinator.ReadPosition(ADDRESS, 12, 345, 2, 90_000, 640)),
            17,
            Map.of(
                    ID,
                    new RateLimitUpdate(Optional.of(new RateLimitUpdate.Observation(Optional.of(0.5), 120)), 3),
                    new BackendServerId("i-2"),
                    new RateLimitUpdate(Optional.of(new RateLimitUpdate.Observation(Optional.empty(), 7)), 0),
                    new BackendServerId("i-3"),
                    new RateLimitUpdate(Optional.empty(), 8)),
            new PoisonUpdate(
                    List.of(new PoisonUpdate.ToldCrash("i-4", 1_200, Set.of("f1", "f2"))),
                    Map.of("f3", 500_000L),
                    Map.of("f4", 20L),
                    Map.of("i-5", 30L)),
            DemandSection.NONE);

    /** Bytes of the crashes, refusals, clearances and signs of life of an update that has none. */
    private static final int NO_POISON_BYTES = 4;

    @Test
    public void readsWhatWasWritten() {
        byte[] bytes = PeerUpdateCodec.write(UPDATE);
        assertEquals(PeerUpdateCodec.read(bytes, bytes.length).get(), UPDATE);
        byte[] withoutLoads = PeerUpdateCodec.write(UPDATE.withoutLoads());
        assertEquals(PeerUpdateCodec.read(withoutLoads, withoutLoads.length).get(), UPDATE.withoutLoads());
    }

    /** Guards against gateways of two builds that do not hear each other while one replaces the other. */
    @Test
    public void updateWithoutLimitsIsRead() {
        PeerUpdate update =
                UPDATE.withRateLimits(Map.of()).withReading(Optional.empty()).withPoison(PoisonUpdate.NONE);
        byte[] bytes = PeerUpdateCodec.write(update);
        bytes[0] = 6;
        int withoutLimits = bytes.length - NO_POISON_BYTES - 1; // the empty map of limits takes one byte
        assertEquals(PeerUpdateCodec.read(bytes, withoutLimits).get(), update);
    }

    /** Guards against gateways that do not hear those of the previous build, which tell no crashes. */
    @Test
    public void updateWithoutCrashesIsRead() {
        PeerUpdate update = UPDATE.withPoison(PoisonUpdate.NONE);
        byte[] bytes = PeerUpdateCodec.write(update);
        bytes[0] = 8;
        assertEquals(PeerUpdateCodec.read(bytes, bytes.length - NO_POISON_BYTES).get(), update);
    }

    /**
     * Guards against relying on a position of the previous build, which does not say how long it is valid; all else of
     * its update is used.
     */
    @Test
    public void positionOfThePreviousBuildIsNotUsed() {
        byte[] bytes = Base64.getDecoder().decode("B6JnMQejZGMxCcLCBICQgICQw60xMC4wLjAuMTo3MDAwDM0BWQIRgA==");
        PeerUpdate read = PeerUpdateCodec.read(bytes, bytes.length).get();
        assertEquals(read.reading(), Optional.empty());
        assertEquals(read.configVersion(), 17);
        assertEquals(read.sequenceNumber(), 9);
    }

    @Test
    public void truncatedUpdateIsReportedWithoutAnException() {
        byte[] bytes = PeerUpdateCodec.write(UPDATE);
        for (int length = 0; length < bytes.length; length++) {
            assertTrue(
                    PeerUpdateCodec.read(Arrays.copyOf(bytes, length), length).isLeft());
        }
    }

    @Test
    public void unknownFormatIsReported() {
        byte[] bytes = PeerUpdateCodec.write(UPDATE);
        bytes[0] = 1;
        assertTrue(PeerUpdateCodec.read(bytes, bytes.length).isLeft());
    }
}
