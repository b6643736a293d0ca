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
import org.cornelramp.gateway.log.EventLog;
import org.testng.annotations.Test;

/** Who is told whose news. */
public class PeerLinkTest {
    private static final DataCentre HOME = new DataCentre("dc1");

    private static HostPort freeAddress() throws Exception {
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return new HostPort("127.0.0.1", socket.getLocalPort());
        }
    }

    private static PeerLink link(String name, HostPort address, Queue<PeerNews> heard) {
        AtomicLong number = new AtomicLong();
        EventLog log = new EventLog(new ByteArrayOutputStream(), Clock.systemUTC(), name);
        return new PeerLink(
                address,
                HOME,
                () -> PeerNews.of(
                        new PeerNews.Sender(name, 1, HOME),
                        number.incrementAndGet(),
                        false,
                        Map.of(),
                        0,
                        Map.of(),
                        Set.of(),
                        RetryLoanUpdate.NONE),
                heard::add,
                new ReadCoordinator(address),
                new PeerConfigVersions(() -> PeerConfigVersions.NONE),
                () -> false,
                SteadyClock.system(),
                log);
    }

    /**
     * The store turns one gateway away for seconds. It drops out of the members that the others read, but still knows
     * them and tells them its news; they tell it theirs, so it goes on choosing by what all have under way.
     */
    @Test
    public void aGatewayThatTheStoreDoesNotListIsToldWhatItsPeersHaveUnderWay() throws Exception {
        HostPort listed = freeAddress();
        HostPort turnedAway = freeAddress();
        Queue<PeerNews> heardThere = new ConcurrentLinkedQueue<>();
        PeerLink one = link("listed", listed, new ConcurrentLinkedQueue<>());
        PeerLink other = link("turned away", turnedAway, heardThere);
        one.setPeers(List.of());
        other.setPeers(List.of(listed));
        one.start();
        other.start();
        GatewayFixture.await(
                () -> heardThere.stream().anyMatch(news -> news.name().equals("listed")), "news come back");
        one.stop();
        other.stop();
    }

    /**
     * There are more gateways than the store's topic has partitions, so it lists two of them to nobody. Both tell their
     * news to one that is listed; it introduces them to each other, and each hears what the other has under way.
     */
    @Test
    public void gatewaysThatTheStoreDoesNotListAreIntroducedToEachOther() throws Exception {
        HostPort listed = freeAddress();
        Queue<PeerNews> heardByFirst = new ConcurrentLinkedQueue<>();
        PeerLink between = link("listed", listed, new ConcurrentLinkedQueue<>());
        PeerLink first = link("first", freeAddress(), heardByFirst);
        PeerLink second = link("second", freeAddress(), new ConcurrentLinkedQueue<>());
        first.setPeers(List.of(listed));
        second.setPeers(List.of(listed));
        for (PeerLink link : List.of(between, first, second)) {
            link.start();
        }
        GatewayFixture.await(
                () -> heardByFirst.stream().anyMatch(news -> news.name().equals("second")),
                "the first hears the second");
        for (PeerLink link : List.of(between, first, second)) {
            link.stop();
        }
    }
}
