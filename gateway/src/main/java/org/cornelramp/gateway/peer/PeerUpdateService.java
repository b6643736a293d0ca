package org.cornelramp.gateway.peer;

import io.vavr.control.Either;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.SocketTimeoutException;
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
import org.cornelramp.daemon.kernel.StepGuard;
import org.cornelramp.gateway.SteadyClock;
import org.cornelramp.gateway.follow.PeerConfigVersions;
import org.cornelramp.gateway.follow.ReadCoordinator;
import org.cornelramp.gateway.log.EventLog;

/**
 * Sends this gateway's updates to its peers and receives theirs, as UDP datagrams.
 *
 * <p>Without them, each gateway would send its requests to the engines that look idle to itself, and all gateways would
 * choose the same ones. Each update carries the complete state, so a lost datagram is not sent again. Confined to its
 * own thread, except for {@link #start}, {@link #stop}, {@link #setPeers} and {@link #peers}.
 */
public final class PeerUpdateService {
    /** Size limit of a datagram, chosen below the usual limit at which datagrams are fragmented. */
    private static final int MAX_BYTES = 8_192;

    private final HostPort address;
    private final Supplier<PeerUpdate> ownUpdate;
    private final Consumer<PeerUpdate> onUpdate;
    private final ReadCoordinator readCoordinator;
    private final PeerConfigVersions versions;
    private final BooleanSupplier isLeader;
    private final SteadyClock clock;
    private final EventLog log;
    private final Thread thread = new Thread(this::run, "peers");
    private final UpdateOrder order = new UpdateOrder();
    private final PeerDirectory<InetSocketAddress> directory = new PeerDirectory<>();
    private final PeerRotation rotation = new PeerRotation();
    private final PeerRotation introductionRotation = new PeerRotation();
    private final PriorityPeers<InetSocketAddress> priorityPeers = new PriorityPeers<>();
    private final PeerLocations<InetSocketAddress> locations;
    private final UpdateUrgency urgency = new UpdateUrgency();
    private final DemandPacing<InetSocketAddress> demandPacing = new DemandPacing<>();
    private volatile List<HostPort> peers = List.of();
    private volatile List<HostPort> recipients = List.of();
    private volatile boolean running = true;

    /**
     * @param address where this gateway receives updates
     * @param dataCentre the data centre of this gateway
     * @param ownUpdate supplies this gateway's update
     * @param onUpdate called with each newer update of a peer
     * @param readCoordinator supplies how far this gateway has read the store, and is given what peers report
     * @param versions supplies the version of the configuration in force, and is given what peers report
     * @param isLeader whether this gateway is the leader
     */
    public PeerUpdateService(
            HostPort address,
            DataCentre dataCentre,
            Supplier<PeerUpdate> ownUpdate,
            Consumer<PeerUpdate> onUpdate,
            ReadCoordinator readCoordinator,
            PeerConfigVersions versions,
            BooleanSupplier isLeader,
            SteadyClock clock,
            EventLog log) {
        this.readCoordinator = readCoordinator;
        this.versions = versions;
        this.isLeader = isLeader;
        this.address = address;
        this.locations = new PeerLocations<>(dataCentre);
        this.ownUpdate = ownUpdate;
        this.onUpdate = onUpdate;
        this.clock = clock;
        this.log = log;
        thread.setDaemon(true);
    }

    /** A random number that identifies one incarnation (start) of a gateway. */
    public static long newIncarnation() {
        return ThreadLocalRandom.current().nextLong(Long.MAX_VALUE);
    }

    /** Starts the thread. */
    public void start() {
        thread.start();
    }

    /** Asks the thread to end; does not wait for it. */
    public void stop() {
        running = false;
    }

    /** Sets the peers that the store lists. */
    public void setPeers(List<HostPort> addresses) {
        peers = addresses.stream().filter(peer -> !peer.equals(address)).toList();
    }

    /**
     * The peers that get updates: those that the store lists, and those that recently sent an update or were
     * introduced.
     */
    public List<HostPort> peers() {
        return recipients;
    }

    private void run() {
        Runnable rounds = this::runRounds;
        Consumer<Throwable> onFailure = this::logFailure;
        while (running) {
            if (!StepGuard.run(rounds, onFailure)) {
                pauseAfterFailure();
            }
        }
    }

    private void runRounds() {
        try (DatagramSocket socket = new DatagramSocket(new InetSocketAddress(address.host(), address.port()))) {
            runRounds(socket);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void logFailure(Throwable failure) {
        log.line("peers", "socket failed").with("fault", failure).write();
    }

    private static void pauseAfterFailure() {
        try {
            Thread.sleep(500);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void runRounds(DatagramSocket socket) throws IOException {
        long nextSend = clock.millis();
        byte[] buffer = new byte[MAX_BYTES];
        while (running) {
            long remainingMillis = nextSend - clock.millis();
            if (remainingMillis <= 0) {
                sendRound(socket);
                nextSend = clock.millis() + PeerRotation.ROUND_MILLIS;
                continue;
            }
            socket.setSoTimeout((int) remainingMillis);
            try {
                DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
                socket.receive(packet);
                receive(buffer, packet.getLength(), packet.getSocketAddress());
            } catch (SocketTimeoutException e) {
                // no update has arrived; the next round is due
            }
        }
    }

    private void sendRound(DatagramSocket socket) {
        Set<InetSocketAddress> known = directory.recipients(
                peers.stream().map(PeerUpdateService::socketAddress).toList(), clock.millis());
        recipients = known.stream().map(PeerUpdateService::hostPort).toList();
        if (known.isEmpty()) {
            return;
        }
        PeerUpdate update = ownUpdate
                .get()
                .withRecentPeers(peersToIntroduce())
                .withReading(readCoordinator.ownPosition(isLeader.getAsBoolean(), clock.millis()))
                .withConfigVersion(versions.ownVersion());
        Set<InetSocketAddress> selected = new LinkedHashSet<>(rotation.select(
                known, urgency.isUrgent(update), update.reading().isPresent()));
        selected.addAll(priorityPeers.nextRound());
        boolean smallFleet = known.size() <= PeerRotation.MAX_PEERS_PER_ROUND;
        locations.retain(known);
        DemandPacing.Plan<InetSocketAddress> demand =
                demandPacing.plan(update.demandSection(), selected, known, clock.millis());
        Map<Variant, List<InetSocketAddress>> byVariant = selected.stream()
                .collect(Collectors.groupingBy(
                        peer -> new Variant(locations.needsLoads(peer) || smallFleet, demand.extent(peer))));
        byVariant.forEach((variant, to) -> send(socket, variant.of(update, demand.section()), to));
    }

    /** Which parts of an update some peers of a round get. Immutable, safe for use by any thread. */
    private record Variant(boolean loads, DemandSection.Extent demand) {
        PeerUpdate of(PeerUpdate update, DemandSection section) {
            PeerUpdate limited = update.withDemandSection(section.limitedTo(demand));
            return loads ? limited : limited.withoutLoads();
        }
    }

    private void send(DatagramSocket socket, PeerUpdate update, List<InetSocketAddress> to) {
        byte[] bytes = PeerUpdateCodec.write(update);
        if (bytes.length > MAX_BYTES) {
            bytes = PeerUpdateCodec.write(update.withoutLoads());
        }
        for (InetSocketAddress peer : to) {
            try {
                socket.send(new DatagramPacket(bytes, bytes.length, peer));
            } catch (IOException e) {
                log.routine("peers", "not told")
                        .with("peer", peer)
                        .with("fault", e)
                        .write();
            }
        }
    }

    /**
     * Some of the peers that have recently sent an update. The store lists only members that own a partition, so in a
     * fleet with more gateways than partitions, those without a partition would never learn of each other otherwise.
     */
    private List<HostPort> peersToIntroduce() {
        return introductionRotation.select(directory.peersToIntroduce(clock.millis()), false, false).stream()
                .limit(PeerRotation.MAX_PEERS_PER_ROUND)
                .map(PeerUpdateService::hostPort)
                .toList();
    }

    private static HostPort hostPort(InetSocketAddress peer) {
        return new HostPort(peer.getHostString(), peer.getPort());
    }

    private static InetSocketAddress socketAddress(HostPort peer) {
        return new InetSocketAddress(peer.host(), peer.port());
    }

    private boolean tellsRefusals() {
        return !ownUpdate.get().poison().refusals().isEmpty();
    }

    private void receive(byte[] bytes, int length, SocketAddress from) {
        Either<String, PeerUpdate> read = PeerUpdateCodec.read(bytes, length);
        if (read.isLeft()) {
            log.routine("peers", "unreadable").with("fault", read.getLeft()).write();
            return;
        }
        PeerUpdate update = read.get();
        if (from instanceof InetSocketAddress sender) {
            directory.addSender(sender, clock.millis());
            locations.setLocation(sender, update.sender().dataCentre());
            versions.recordVersion(sender.getHostString(), update.configVersion(), clock.millis());
            if (!update.retryLoans().loanRequests().isEmpty()) {
                priorityPeers.add(sender);
            }
        }
        update.recentPeers().stream()
                .filter(peer -> !peer.equals(address))
                .forEach(peer -> directory.addIntroduced(socketAddress(peer), clock.millis()));
        UpdateOrder.Place place = order.place(update);
        if (place == UpdateOrder.Place.FIRST && from instanceof InetSocketAddress sender && tellsRefusals()) {
            priorityPeers.add(sender); // it would send on what its peers refuse until their turn comes
        }
        if (place != UpdateOrder.Place.OUTDATED) {
            update.reading().ifPresent(reading -> readCoordinator.receivePosition(reading, clock.millis()));
            onUpdate.accept(update);
        }
    }
}
