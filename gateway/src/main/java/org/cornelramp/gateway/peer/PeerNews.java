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
 * What one gateway tells its peers. Immutable, safe for use by any thread.
 *
 * @param sender the gateway
 * @param number grows with each news of a life; an older one that comes late is ignored
 * @param leaving whether it is stopping
 * @param loads what it has under way on each engine; empty where that is not told this time
 * @param crossings hops to another data centre of all that it has under way
 * @param paces how many times longer than usual engines take, where it is not once
 * @param suspects servers that it has seen fail since its last news or just before
 * @param repeats what it lacks and lends of the repeats that all gateways share
 * @param heard addresses of some peers that it has heard lately
 * @param reading how far it has read the store for all; empty if it does not
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
     * A gateway that tells news. Immutable, safe for use by any thread.
     *
     * @param name its name
     * @param life tells its lives apart
     * @param dataCentre where it is
     */
    public record Sender(String name, long life, DataCentre dataCentre) {}

    /** Name of the gateway. */
    public String name() {
        return sender.name();
    }

    /** News of a gateway that has heard nobody and reads for nobody. */
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

    /** The same news with addresses of peers. */
    PeerNews withHeard(List<HostPort> addresses) {
        return new PeerNews(
                sender, number, leaving, loads, crossings, paces, suspects, repeats, addresses, reading, configVersion);
    }

    /** The same news with what this gateway has read for all. */
    PeerNews withReading(Optional<ReadCoordinator.ReadPosition> read) {
        return new PeerNews(
                sender, number, leaving, loads, crossings, paces, suspects, repeats, heard, read, configVersion);
    }

    /** The same news with the version that this gateway has in force. */
    PeerNews withConfigVersion(long version) {
        return new PeerNews(
                sender, number, leaving, loads, crossings, paces, suspects, repeats, heard, reading, version);
    }

    /** The same news without the loads, which are most of its bytes. */
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
