package org.cornelramp.gateway.peer;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.path.EngineLoads;
import org.cornelramp.core.retry.RetryLoanUpdate;
import org.cornelramp.core.settings.HostPort;
import org.cornelramp.gateway.follow.PeerConfigVersions;
import org.cornelramp.gateway.follow.ReadCoordinator;

/**
 * The state that one gateway sends to its peers. Immutable, safe for use by any thread.
 *
 * @param sender the gateway
 * @param number sequence number within an incarnation of the sender; an update with an older number is ignored
 * @param leaving whether it is stopping
 * @param loads the load of its requests in progress on each engine; empty if this update omits the loads
 * @param crossings number of hops to another data centre of all its requests in progress
 * @param paces factor by which each engine is slower than usual; engines with a factor of 1 are omitted
 * @param suspects servers that it has seen fail since its last update or shortly before
 * @param repeats the retries that it requests and lends out of the budget that all gateways share
 * @param heard addresses of some peers that have recently sent it an update
 * @param reading how far it has read the store for all gateways; empty if it does not read for them
 * @param configVersion version of the configuration that it has in force; negative for none
 */
public record PeerNews(
        Sender sender,
        long number,
        boolean leaving,
        Optional<Map<BackendServerId, EngineLoads.Load>> loads,
        int crossings,
        Map<BackendServerId, Double> paces,
        Set<BackendServerId> suspects,
        RetryLoanUpdate repeats,
        List<HostPort> heard,
        Optional<ReadCoordinator.ReadPosition> reading,
        long configVersion) {

    public PeerNews {
        loads = loads.map(Map::copyOf);
        paces = Map.copyOf(paces);
        suspects = Set.copyOf(suspects);
        heard = List.copyOf(heard);
    }

    /**
     * The gateway that sends an update. Immutable, safe for use by any thread.
     *
     * @param name its name
     * @param life random number of its incarnation, see {@link PeerLink#newLife}
     * @param dataCentre the data centre where it runs
     */
    public record Sender(String name, long life, DataCentre dataCentre) {}

    /** Name of the sending gateway. */
    public String name() {
        return sender.name();
    }

    /** An update without peers, reading and configuration version. */
    public static PeerNews of(
            Sender sender,
            long number,
            boolean leaving,
            Map<BackendServerId, EngineLoads.Load> loads,
            int crossings,
            Map<BackendServerId, Double> paces,
            Set<BackendServerId> suspects,
            RetryLoanUpdate repeats) {
        return new PeerNews(
                sender,
                number,
                leaving,
                Optional.of(loads),
                crossings,
                paces,
                suspects,
                repeats,
                List.of(),
                Optional.empty(),
                PeerConfigVersions.NONE);
    }

    /** The same update with addresses of peers. */
    PeerNews withRecentPeers(List<HostPort> addresses) {
        return new PeerNews(
                sender, number, leaving, loads, crossings, paces, suspects, repeats, addresses, reading, configVersion);
    }

    /** The same update with how far this gateway has read the store for all. */
    PeerNews withReading(Optional<ReadCoordinator.ReadPosition> progress) {
        return new PeerNews(
                sender, number, leaving, loads, crossings, paces, suspects, repeats, heard, progress, configVersion);
    }

    /** The same update with the configuration version that this gateway has in force. */
    PeerNews withConfigVersion(long version) {
        return new PeerNews(
                sender, number, leaving, loads, crossings, paces, suspects, repeats, heard, reading, version);
    }

    /** The same update without the loads, which make up most of its bytes. */
    PeerNews withoutLoads() {
        return new PeerNews(
                sender,
                number,
                leaving,
                Optional.empty(),
                crossings,
                paces,
                suspects,
                repeats,
                heard,
                reading,
                configVersion);
    }
}
