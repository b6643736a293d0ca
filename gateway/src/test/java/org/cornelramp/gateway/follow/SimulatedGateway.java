package org.cornelramp.gateway.follow;

import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadFactory;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;
import org.cornelramp.core.routing.RoutingConfig;
import org.cornelramp.core.settings.HostPort;
import org.cornelramp.gateway.log.EventLog;
import org.cornelramp.gateway.metrics.Meters;
import org.cornelramp.gateway.peer.PeerRotation;
import org.cornelramp.gateway.place.LeaderLease;
import org.cornelramp.gateway.route.ConfigHolder;
import org.cornelramp.platform.MemberStore;
import org.cornelramp.platform.MetadataStore;
import org.cornelramp.platform.MetadataStore.Membership;
import org.cornelramp.platform.MetadataStore.Page;
import org.cornelramp.platform.MetadataStore.Topic;
import org.cornelramp.platform.PlatformFault;
import org.cornelramp.platform.RecordStore;

/** One life of a gateway in simulated time, with its own followers, lease and position. */
final class SimulatedGateway {
    private static final long PEER_TIMEOUT_MILLIS = 250;
    private static final long STORE_TIMEOUT_MILLIS = 900;
    private static final ReadTiming TIMING = ReadTiming.of(LateConfigurationTest.BOUND_MILLIS);

    private final SimulatedFleet fleet;
    private final SimulatedTime time;
    private final SimulatedTime.Machine machine;
    private final HostPort address;
    private final ConfigHolder holder = new ConfigHolder();
    private final RecordCache cache = new RecordCache();
    private final ReadCoordinator coordinator;
    private final PeerConfigVersions versions;
    private final LeaderLease lease;
    private final PeerRotation rotation = new PeerRotation();
    private final List<Connection> idleConnections = new ArrayList<>();
    private final List<Connection> openConnections = new ArrayList<>();
    private Optional<ReadCoordinator.ReadPosition> announced = Optional.empty();
    private long serversEnd;

    /** A pooled connection to the store; once it has stopped, nothing comes back on it. */
    private static final class Connection {
        private long usedMillis;
        private boolean stopped;
    }

    SimulatedGateway(SimulatedFleet fleet, SimulatedTime time, int number) {
        this.fleet = fleet;
        this.time = time;
        this.machine = time.new Machine();
        this.address = new HostPort("10.0." + number / 250 + "." + (number % 250 + 1), 7_000);
        StoreAvailability availability = new StoreAvailability();
        this.coordinator = new ReadCoordinator(address, TIMING, availability);
        this.versions = new PeerConfigVersions(this::version);
        EventLog log = new EventLog(new ByteArrayOutputStream(), Clock.systemUTC(), "g" + number);
        Meters meters = new Meters();
        ThreadFactory threads = machine.threads();
        StoreClient store = new StoreClient();
        this.lease =
                new LeaderLease("g" + number, address, peers -> {}, store, availability, threads, machine, log, meters);
        BooleanSupplier isLeader = this::isLeader;
        TopicFollower.Dependencies parts = new TopicFollower.Dependencies(
                store,
                availability,
                coordinator,
                isLeader,
                cache,
                new PeerClient(),
                threads,
                TIMING,
                machine,
                log,
                meters);
        new ConfigFollower(parts, holder, versions).start();
        new RegistrationFollower(parts).start();
        lease.start();
        Thread rounds = threads.newThread(this::announce);
        rounds.start();
    }

    boolean isLeader() {
        return !lease.term(machine.millis()).equals(LeaderLease.NONE);
    }

    SimulatedTime.Machine machine() {
        return machine;
    }

    private long version() {
        return holder.current().map(RoutingConfig::version).orElse(PeerConfigVersions.NONE);
    }

    /** The offset up to which all records of a topic have been applied. */
    long appliedEnd(Topic topic) {
        return topic == Topic.OPERATORS ? Math.max(0, version()) : serversEnd;
    }

    /** Makes all open connections to the store stop without a reset. */
    void stopConnections() {
        idleConnections.forEach(connection -> connection.stopped = true);
        openConnections.forEach(connection -> connection.stopped = true);
    }

    private Connection takeConnection() {
        idleConnections.removeIf(connection -> time.millis() - connection.usedMillis > TIMING.connectionIdleMillis());
        Connection connection = idleConnections.isEmpty() ? new Connection() : idleConnections.remove(0);
        openConnections.add(connection);
        return connection;
    }

    /** Calls the store over a pooled connection, which is closed if no answer comes. */
    private <T> Either<PlatformFault, T> callStore(long timeoutMillis, Consumer<Consumer<T>> call) {
        Connection connection = takeConnection();
        Optional<T> answer = machine.await(
                timeoutMillis,
                done -> fleet.sendToStore(this, () -> {
                    if (!connection.stopped) {
                        call.accept(result -> {
                            if (!connection.stopped) {
                                fleet.sendFromStore(this, () -> done.accept(result));
                            }
                        });
                    }
                }));
        openConnections.remove(connection);
        if (answer.isEmpty()) {
            return Either.left(new PlatformFault(PlatformFault.Kind.NO_ANSWER, "simulated"));
        }
        connection.usedMillis = time.millis();
        idleConnections.add(0, connection);
        return Either.right(answer.get());
    }

    private final class StoreClient implements RecordStore, MemberStore {
        @Override
        public Either<PlatformFault, Page> newest(Topic topic) {
            return callStore(STORE_TIMEOUT_MILLIS, done -> fleet.store().newest(topic, done));
        }

        @Override
        public Either<PlatformFault, Page> read(Topic topic, long from, long waitMillis, long answerMillis) {
            return callStore(waitMillis + answerMillis, done -> fleet.store()
                    .read(topic, from, time.millis() + waitMillis, done));
        }

        @Override
        public Either<PlatformFault, Membership> join(
                String group, String member, String topic, long ttlMillis, long generation) {
            return callStore(
                    STORE_TIMEOUT_MILLIS, done -> done.accept(fleet.store().join(member, ttlMillis)));
        }

        @Override
        public Either<PlatformFault, Set<String>> members(String group) {
            return Either.right(Set.of());
        }

        @Override
        public long era() {
            return 0;
        }
    }

    private final class PeerClient implements PeerRecords {
        @Override
        public Optional<RecordCache.RecordSet> fetchFromAnyPeer(Topic topic) {
            return fleet.peersOf(SimulatedGateway.this).stream()
                    .limit(2)
                    .flatMap(peer -> fetch(peer.address, topic, 0, -1).stream())
                    .findFirst();
        }

        @Override
        public Optional<byte[]> fetchConfig(String host) {
            return call(host, peer -> peer.holder.published().map(ConfigHolder.Published::source));
        }

        @Override
        public Optional<RecordCache.RecordSet> fetch(HostPort peer, Topic topic, long era, long from) {
            return call(peer.host(), other -> other.cache.recordsFrom(topic, era, from, other.machine.millis()));
        }

        private <T> Optional<T> call(String host, Function<SimulatedGateway, Optional<T>> read) {
            Optional<Optional<T>> answer = machine.await(PEER_TIMEOUT_MILLIS, done -> fleet.gatewayAt(host)
                    .ifPresent(peer -> fleet.sendToPeer(SimulatedGateway.this, peer, () -> {
                        Optional<T> result = read.apply(peer);
                        fleet.sendToPeer(peer, SimulatedGateway.this, () -> done.accept(result));
                    })));
            return answer.flatMap(result -> result);
        }
    }

    private final class RegistrationFollower extends TopicFollower {
        RegistrationFollower(Dependencies parts) {
            super("servers", Topic.SERVERS, parts);
        }

        @Override
        boolean apply(MetadataStore.Page page, boolean complete) {
            serversEnd = Math.max(serversEnd, page.next());
            return true;
        }

        @Override
        void onStoreStatus(boolean answers) {
            // nothing here depends on it
        }

        @Override
        void beforeStep(long nowMillis) {
            // as in the gateway
        }

        @Override
        long pauseMillis() {
            return 80;
        }
    }

    /** Host of the address at which peers read this gateway's records. */
    String host() {
        return address.host();
    }

    private void announce() {
        while (true) {
            Optional<ReadCoordinator.ReadPosition> position = coordinator.ownPosition(isLeader(), machine.millis());
            boolean progressed = position.filter(
                            reading -> announced.filter(reading::isAt).isEmpty())
                    .isPresent();
            announced = position;
            long version = version();
            for (SimulatedGateway peer : rotation.select(fleet.peersOf(this), progressed, position.isPresent())) {
                fleet.sendUpdate(this, peer, () -> peer.receive(address.host(), position, version));
            }
            machine.pause(PeerRotation.ROUND_MILLIS);
        }
    }

    private void receive(String from, Optional<ReadCoordinator.ReadPosition> position, long version) {
        versions.recordVersion(from, version, machine.millis());
        position.ifPresent(reading -> coordinator.receivePosition(reading, machine.millis()));
    }
}
