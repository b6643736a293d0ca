package org.cornelramp.gateway.peer;

import io.vavr.control.Either;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.SocketTimeoutException;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.settings.HostPort;
import org.cornelramp.gateway.SteadyClock;
import org.cornelramp.gateway.follow.PeerConfigVersions;
import org.cornelramp.gateway.follow.ReadCoordinator;
import org.cornelramp.gateway.log.EventLog;

/**
 * Tells this gateway's news to its peers, and takes theirs, by datagrams.
 *
 * <p>Each gateway alone would send its requests to the engines that look idle to it, and all would meet there. News
 * are whole each time, so a lost datagram needs no repeat. Owned by its own thread, but for start, stop and
 * {@link #setPeers}.
 */
public final class PeerLink {
    /** Below the usual limit of a datagram that is not split on its way. */
    private static final int MAX_BYTES = 8_192;

    private final HostPort address;
    private final Supplier<PeerNews> own;
    private final Consumer<PeerNews> onNews;
    private final ReadCoordinator share;
    private final PeerConfigVersions versions;
    private final BooleanSupplier leads;
    private final SteadyClock clock;
    private final EventLog log;
    private final Thread thread = new Thread(this::run, "peers");
    private final Map<String, long[]> newest = new HashMap<>();
    private final PeerBook<InetSocketAddress> book = new PeerBook<>();
    private final PeerTurns turns = new PeerTurns();
    private final PeerTurns introductions = new PeerTurns();
    private final Askers<InetSocketAddress> askers = new Askers<>();
    private final PeerPlaces<InetSocketAddress> places;
    private final NewsUrgency urgency = new NewsUrgency();
    private volatile List<HostPort> peers = List.of();
    private volatile List<HostPort> reachable = List.of();
    private volatile boolean running = true;

    /**
     * @param address where this gateway takes news
     * @param dataCentre where this gateway is
     * @param own makes its own news
     * @param onNews takes a peer's news
     * @param share takes and gives how far the store has been read
     * @param versions takes and gives which configuration is in force
     * @param leads whether this gateway leads
     */
    public PeerLink(
            HostPort address,
            DataCentre dataCentre,
            Supplier<PeerNews> own,
            Consumer<PeerNews> onNews,
            ReadCoordinator share,
            PeerConfigVersions versions,
            BooleanSupplier leads,
            SteadyClock clock,
            EventLog log) {
        this.share = share;
        this.versions = versions;
        this.leads = leads;
        this.address = address;
        this.places = new PeerPlaces<>(dataCentre);
        this.own = own;
        this.onNews = onNews;
        this.clock = clock;
        this.log = log;
        thread.setDaemon(true);
    }

    /** A number that tells this life from others of the same gateway. */
    public static long newLife() {
        return ThreadLocalRandom.current().nextLong(Long.MAX_VALUE);
    }

    /** Starts the thread. */
    public void start() {
        thread.start();
    }

    /** Tells the thread to end. */
    public void stop() {
        running = false;
    }

    /** Sets whom to tell. */
    public void setPeers(List<HostPort> addresses) {
        peers = addresses.stream().filter(peer -> !peer.equals(address)).toList();
    }

    /** The peers that are told: those that the store lists, and those that were heard or introduced lately. */
    public List<HostPort> peers() {
        return reachable;
    }

    private void run() {
        while (running) {
            try (DatagramSocket socket = new DatagramSocket(new InetSocketAddress(address.host(), address.port()))) {
                exchange(socket);
            } catch (IOException e) {
                log.line("peers", "socket failed").with("fault", e).write();
                pause();
            }
        }
    }

    private static void pause() {
        try {
            Thread.sleep(500);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void exchange(DatagramSocket socket) throws IOException {
        long nextSend = clock.millis();
        byte[] buffer = new byte[MAX_BYTES];
        while (running) {
            long left = nextSend - clock.millis();
            if (left <= 0) {
                tell(socket);
                nextSend = clock.millis() + PeerTurns.ROUND_MILLIS;
                continue;
            }
            socket.setSoTimeout((int) left);
            try {
                DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
                socket.receive(packet);
                take(buffer, packet.getLength(), packet.getSocketAddress());
            } catch (SocketTimeoutException e) {
                // nobody told anything; it is time to send
            }
        }
    }

    private void tell(DatagramSocket socket) {
        Set<InetSocketAddress> all =
                book.toTell(peers.stream().map(PeerLink::socketAddress).toList(), clock.millis());
        reachable = all.stream().map(PeerLink::hostPort).toList();
        if (all.isEmpty()) {
            return;
        }
        PeerNews news = own.get()
                .withHeard(introduced())
                .withReading(share.ownPosition(leads.getAsBoolean(), clock.millis()))
                .withConfigVersion(versions.ownVersion());
        Set<InetSocketAddress> told = new LinkedHashSet<>(
                turns.take(all, urgency.isUrgent(news), news.reading().isPresent()));
        told.addAll(askers.take());
        boolean few = all.size() <= PeerTurns.MOST_A_ROUND;
        places.retain(all);
        Map<Boolean, List<InetSocketAddress>> byLoads =
                told.stream().collect(Collectors.partitioningBy(peer -> places.hearsLoads(peer) || few));
        send(socket, news, byLoads.get(true));
        send(socket, news.withoutLoads(), byLoads.get(false));
    }

    private void send(DatagramSocket socket, PeerNews news, List<InetSocketAddress> to) {
        if (to.isEmpty()) {
            return;
        }
        byte[] bytes = PeerNewsCodec.write(news);
        if (bytes.length > MAX_BYTES) {
            bytes = PeerNewsCodec.write(news.withoutLoads());
        }
        for (InetSocketAddress peer : to) {
            try {
                socket.send(new DatagramPacket(bytes, bytes.length, peer));
            } catch (IOException e) {
                log.ordinary("peers", "not told")
                        .with("peer", peer)
                        .with("fault", e)
                        .write();
            }
        }
    }

    /**
     * Some of the peers that were heard lately. The store lists only members that hold a partition, so in a fleet with
     * more gateways than partitions those without one would never hear of each other.
     */
    private List<HostPort> introduced() {
        return introductions.take(book.toIntroduce(clock.millis()), false, false).stream()
                .limit(PeerTurns.MOST_A_ROUND)
                .map(PeerLink::hostPort)
                .toList();
    }

    private static HostPort hostPort(InetSocketAddress peer) {
        return new HostPort(peer.getHostString(), peer.getPort());
    }

    private static InetSocketAddress socketAddress(HostPort peer) {
        return new InetSocketAddress(peer.host(), peer.port());
    }

    private void take(byte[] bytes, int length, SocketAddress from) {
        Either<String, PeerNews> read = PeerNewsCodec.read(bytes, length);
        if (read.isLeft()) {
            log.ordinary("peers", "unreadable").with("fault", read.getLeft()).write();
            return;
        }
        PeerNews news = read.get();
        if (from instanceof InetSocketAddress sender) {
            book.heard(sender, clock.millis());
            places.heard(sender, news.sender().dataCentre());
            versions.recordVersion(sender.getHostString(), news.configVersion(), clock.millis());
            if (!news.repeats().loanRequests().isEmpty()) {
                askers.add(sender);
            }
        }
        news.heard().stream()
                .filter(peer -> !peer.equals(address))
                .forEach(peer -> book.introduced(socketAddress(peer), clock.millis()));
        long[] last = newest.get(news.name());
        boolean old = last != null && last[0] == news.sender().life() && last[1] >= news.number();
        if (!old) {
            newest.put(news.name(), new long[] {news.sender().life(), news.number()});
            news.reading().ifPresent(reading -> share.receivePosition(reading, clock.millis()));
            onNews.accept(news);
        }
    }
}
