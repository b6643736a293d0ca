package org.cornelramp.gateway.peer;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.cornelramp.core.limit.RateLimitUpdate;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.path.EngineLoads;
import org.cornelramp.core.poison.PoisonUpdate;
import org.cornelramp.core.retry.RetryLoanUpdate;
import org.cornelramp.core.settings.HostPort;
import org.cornelramp.gateway.follow.PeerConfigVersions;
import org.cornelramp.gateway.follow.ReadCoordinator;

/**
 * The state that one gateway sends to its peers. Immutable, safe for use by any thread.
 *
 * @param sender the gateway
 * @param sequenceNumber sequence number within an incarnation of the sender; an update with an older number is ignored
 * @param leaving whether it is stopping
 * @param loads the load of its requests in progress on each engine; empty if this update omits the loads
 * @param crossings number of hops to another data centre of all its requests in progress
 * @param slowdowns factor by which each engine is slower than usual; engines with a factor of 1 are omitted
 * @param suspects servers that it has seen fail since its last update or shortly before
 * @param retryLoans the retries that it requests and lends out of the budget that all gateways share
 * @param recentPeers addresses of some peers that have recently sent it an update
 * @param reading how far it has read the store for all gateways; empty if it does not read for them
 * @param configVersion version of the configuration that it has in force; negative for none
 * @param rateLimits what it knows of limits that servers have named, and what it has sent to these servers
 * @param poison crashes of servers that it has seen, and the requests that it refuses for such crashes
 * @param demandSection the demand at the sender and its own status
 */
public record PeerUpdate(
        Sender sender,
        long sequenceNumber,
        boolean leaving,
        Optional<Map<BackendServerId, EngineLoads.Load>> loads,
        int crossings,
        Map<BackendServerId, Double> slowdowns,
        Set<BackendServerId> suspects,
        RetryLoanUpdate retryLoans,
        List<HostPort> recentPeers,
        Optional<ReadCoordinator.ReadPosition> reading,
        long configVersion,
        Map<BackendServerId, RateLimitUpdate> rateLimits,
        PoisonUpdate poison,
        DemandSection demandSection) {

    public PeerUpdate {
        loads = loads.map(Map::copyOf);
        slowdowns = Map.copyOf(slowdowns);
        suspects = Set.copyOf(suspects);
        recentPeers = List.copyOf(recentPeers);
        rateLimits = Map.copyOf(rateLimits);
    }

    /**
     * The gateway that sends an update. Immutable, safe for use by any thread.
     *
     * @param name its name
     * @param incarnation random number of its incarnation, see {@link PeerUpdateService#newIncarnation}
     * @param dataCentre the data centre where it runs
     */
    public record Sender(String name, long incarnation, DataCentre dataCentre) {}

    /** Name of the sending gateway. */
    public String name() {
        return sender.name();
    }

    /** An update without peers, reading, configuration version, limits, crashes and demand. */
    public static PeerUpdate of(
            Sender sender,
            long number,
            boolean leaving,
            Map<BackendServerId, EngineLoads.Load> loads,
            int crossings,
            Map<BackendServerId, Double> paces,
            Set<BackendServerId> suspects,
            RetryLoanUpdate retryLoans) {
        return new PeerUpdate(
                sender,
                number,
                leaving,
                Optional.of(loads),
                crossings,
                paces,
                suspects,
                retryLoans,
                List.of(),
                Optional.empty(),
                PeerConfigVersions.NONE,
                Map.of(),
                PoisonUpdate.NONE,
                DemandSection.NONE);
    }

    /** The fields in which copies of an update differ from it. Used by one thread. */
    private static final class Copy {
        private final PeerUpdate original;
        private Optional<Map<BackendServerId, EngineLoads.Load>> loads;
        private List<HostPort> recentPeers;
        private Optional<ReadCoordinator.ReadPosition> reading;
        private long configVersion;
        private Map<BackendServerId, RateLimitUpdate> rateLimits;
        private PoisonUpdate poison;
        private DemandSection demandSection;

        Copy(PeerUpdate original) {
            this.original = original;
            this.loads = original.loads;
            this.recentPeers = original.recentPeers;
            this.reading = original.reading;
            this.configVersion = original.configVersion;
            this.rateLimits = original.rateLimits;
            this.poison = original.poison;
            this.demandSection = original.demandSection;
        }

        PeerUpdate build() {
            return new PeerUpdate(
                    original.sender,
                    original.sequenceNumber,
                    original.leaving,
                    loads,
                    original.crossings,
                    original.slowdowns,
                    original.suspects,
                    original.retryLoans,
                    recentPeers,
                    reading,
                    configVersion,
                    rateLimits,
                    poison,
                    demandSection);
        }
    }

    private PeerUpdate with(Consumer<Copy> change) {
        Copy copy = new Copy(this);
        change.accept(copy);
        return copy.build();
    }

    /** The same update with addresses of peers. */
    PeerUpdate withRecentPeers(List<HostPort> addresses) {
        return with(copy -> copy.recentPeers = addresses);
    }

    /** The same update with how far this gateway has read the store for all. */
    PeerUpdate withReading(Optional<ReadCoordinator.ReadPosition> progress) {
        return with(copy -> copy.reading = progress);
    }

    /** The same update with the configuration version that this gateway has in force. */
    PeerUpdate withConfigVersion(long version) {
        return with(copy -> copy.configVersion = version);
    }

    /** The same update with what this gateway knows of servers' limits. */
    public PeerUpdate withRateLimits(Map<BackendServerId, RateLimitUpdate> limits) {
        return with(copy -> copy.rateLimits = limits);
    }

    /** The same update with what this gateway knows of crashes. */
    public PeerUpdate withPoison(PoisonUpdate news) {
        return with(copy -> copy.poison = news);
    }

    /** The same update with the demand at this gateway and its status. */
    public PeerUpdate withDemandSection(DemandSection section) {
        return with(copy -> copy.demandSection = section);
    }

    /** The same update without the loads, which make up most of its bytes. */
    PeerUpdate withoutLoads() {
        return with(copy -> copy.loads = Optional.empty());
    }
}
