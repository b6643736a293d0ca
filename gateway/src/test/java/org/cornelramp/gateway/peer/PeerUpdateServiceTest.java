package org.cornelramp.gateway.peer;

import java.io.ByteArrayOutputStream;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.time.Clock;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.retry.RetryLoanUpdate;
import org.cornelramp.core.settings.HostPort;
import org.cornelramp.gateway.GatewayFixture;
import org.cornelramp.gateway.SteadyClock;
import org.cornelramp.gateway.follow.PeerConfigVersions;
import org.cornelramp.gateway.follow.ReadCoordinator;
import org.cornelramp.gateway.follow.ReadTiming;
import org.cornelramp.gateway.follow.StoreAvailability;
import org.cornelramp.gateway.log.EventLog;
import org.testng.annotations.Test;

/** Which gateways get each other's updates. */
public class PeerUpdateServiceTest {
    private static final DataCentre HOME = new DataCentre("dc1");

    private static HostPort freeAddress() throws Exception {
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return new HostPort("127.0.0.1", socket.getLocalPort());
        }
    }

    private static PeerUpdateService newService(String name, HostPort address, Queue<PeerUpdate> received) {
        AtomicLong number = new AtomicLong();
        EventLog log = new EventLog(new ByteArrayOutputStream(), Clock.systemUTC(), name);
        return new PeerUpdateService(
                address,
                HOME,
                () -> PeerUpdate.of(
                        new PeerUpdate.Sender(name, 1, HOME),
                        number.incrementAndGet(),
                        false,
                        Map.of(),
                        0,
                        Map.of(),
                        Set.of(),
                        RetryLoanUpdate.NONE),
                received::add,
                new ReadCoordinator(address, ReadTiming.of(2_000), new StoreAvailability()),
                new PeerConfigVersions(() -> PeerConfigVersions.NONE),
                () -> false,
                SteadyClock.system(),
                log);
    }

    /**
     * Guards against a gateway that routes without the others' loads: the store refuses it for seconds, so it drops out
     * of the members that the others read. It still knows them and sends them updates, and they must send it theirs.
     */
    @Test
    public void gatewayThatTheStoreDoesNotListGetsUpdates() throws Exception {
        HostPort listed = freeAddress();
        HostPort refused = freeAddress();
        Queue<PeerUpdate> receivedByOther = new ConcurrentLinkedQueue<>();
        PeerUpdateService one = newService("listed", listed, new ConcurrentLinkedQueue<>());
        PeerUpdateService other = newService("refused", refused, receivedByOther);
        one.setPeers(List.of());
        other.setPeers(List.of(listed));
        one.start();
        other.start();
        GatewayFixture.await(
                () -> receivedByOther.stream().anyMatch(update -> update.name().equals("listed")), "updates come back");
        one.stop();
        other.stop();
    }

    /**
     * Guards against gateways that never learn of each other: there are more gateways than the store's topic has
     * partitions, so the store does not list two of them. Both send updates to one that is listed; it must introduce
     * them to each other, so that they exchange their loads.
     */
    @Test
    public void gatewaysThatTheStoreDoesNotListAreIntroduced() throws Exception {
        HostPort listed = freeAddress();
        Queue<PeerUpdate> receivedByFirst = new ConcurrentLinkedQueue<>();
        PeerUpdateService introducer = newService("listed", listed, new ConcurrentLinkedQueue<>());
        PeerUpdateService first = newService("first", freeAddress(), receivedByFirst);
        PeerUpdateService second = newService("second", freeAddress(), new ConcurrentLinkedQueue<>());
        first.setPeers(List.of(listed));
        second.setPeers(List.of(listed));
        for (PeerUpdateService service : List.of(introducer, first, second)) {
            service.start();
        }
        GatewayFixture.await(
                () -> receivedByFirst.stream().anyMatch(update -> update.name().equals("second")),
                "the first gets an update of the second");
        for (PeerUpdateService service : List.of(introducer, first, second)) {
            service.stop();
        }
    }
}
