package org.cornelramp.gateway.route;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.path.EngineLoads;
import org.cornelramp.core.path.PrefixSketch;
import org.cornelramp.core.retry.RetryLoanUpdate;
import org.cornelramp.gateway.peer.DemandSection;
import org.cornelramp.gateway.peer.PeerRotation;
import org.cornelramp.gateway.peer.PeerUpdate;
import org.cornelramp.gateway.peer.PeerUpdateService;

/**
 * Prepares the updates that this gateway sends to its peers, and applies the updates of its peers. Confined to the
 * router's thread.
 */
final class PeerUpdateHandler {
    /**
     * Age that is assigned to a slowdown factor from a peer's update, so that two gateways do not keep an outdated one
     * alive by sending it to each other.
     */
    private static final long SLOWDOWN_AGE_MILLIS = 2_500;

    /**
     * How long a failure that this process has observed stays in its updates, since datagrams may be lost. Shorter than
     * a suspicion lasts; otherwise a server that has just recovered would be suspected again.
     */
    private static final long FAILURE_REPORT_MILLIS = 1_000;

    private final PeerUpdate.Sender sender;
    private final FleetState fleet;
    private final SharedRetries sharedRetries;
    private final PoisonGuard poisonGuard;
    private final DemandReporter demandReporter;
    private final BiConsumer<BackendServer, Long> probe;
    private final CapacityExchange capacity;
    private final Map<BackendServerId, Long> failuresSeen = new HashMap<>();
    private final Map<String, Long> stayingPeers = new ConcurrentHashMap<>();
    private volatile boolean leaving;
    private long number;
    private volatile PeerUpdate currentUpdate;

    /** @param probe probes a server that a peer has seen fail, at the given time */
    PeerUpdateHandler(
            String name,
            DataCentre dataCentre,
            FleetState fleet,
            SharedRetries sharedRetries,
            PoisonGuard poisonGuard,
            DemandReporter demandReporter,
            BiConsumer<BackendServer, Long> probe) {
        this.sender = new PeerUpdate.Sender(name, PeerUpdateService.newIncarnation(), dataCentre);
        this.fleet = fleet;
        this.sharedRetries = sharedRetries;
        this.poisonGuard = poisonGuard;
        this.demandReporter = demandReporter;
        this.probe = probe;
        this.capacity = new CapacityExchange(dataCentre);
        this.currentUpdate = PeerUpdate.of(sender, 0, false, Map.of(), 0, Map.of(), Set.of(), RetryLoanUpdate.NONE);
    }

    /** The state that the updates report and change. */
    FleetState fleet() {
        return fleet;
    }

    /** The update to send now; may be called by any thread. */
    PeerUpdate currentUpdate() {
        return currentUpdate;
    }

    /** Passes statuses of gateways between the updates and the capacity monitor; may be called by any thread. */
    CapacityExchange capacity() {
        return capacity;
    }

    /** Marks this process as stopping in its updates; may be called by any thread. */
    void announceStop() {
        leaving = true;
    }

    /** Whether there is a peer that is not stopping; may be called by any thread. */
    boolean hasStayingPeer() {
        return !stayingPeers.isEmpty();
    }

    /**
     * Records that this process itself has seen a server fail. Failures from peers' updates are not forwarded, or they
     * would circulate without end.
     */
    void recordFailure(BackendServerId id, long nowMillis) {
        failuresSeen.put(id, nowMillis);
    }

    /** Builds the current update and drops expired entries. */
    void refreshUpdate(long nowMillis) {
        EngineLoads loads = fleet.loads();
        loads.removeExpiredSlowdowns(nowMillis);
        // Updates may have been waiting unread for as long as this process is late.
        long silence = PeerRotation.silenceMillis(loads.peerCount()) + fleet.lagMillis();
        loads.removeSilentPeers(silence, nowMillis);
        fleet.demand().removeSilentPeers(fleet.lagMillis(), nowMillis);
        fleet.promptHolders().ifPresent(holders -> holders.removeSilentPeers(fleet.lagMillis(), nowMillis));
        fleet.gatewayStatuses().removeSilentPeers(fleet.lagMillis(), nowMillis);
        sharedRetries.setPeers(loads.peerCount(), nowMillis);
        stayingPeers.values().removeIf(at -> nowMillis - at > silence);
        failuresSeen.values().removeIf(at -> nowMillis - at > FAILURE_REPORT_MILLIS);
        capacity.refresh(fleet, nowMillis);
        currentUpdate = PeerUpdate.of(
                        sender,
                        ++number,
                        leaving,
                        loads.ownLoads(),
                        loads.ownCrossings(),
                        loads.slowdownFactors(),
                        failuresSeen.keySet(),
                        sharedRetries.loanUpdate(nowMillis))
                .withRateLimits(fleet.rateLimits().update(nowMillis))
                .withPoison(poisonGuard.update(nowMillis))
                .withDemandSection(demandReporter
                        .section(nowMillis)
                        .withPrefixes(fleet.promptHolders()
                                .map(holders -> holders.sketch(nowMillis))
                                .orElse(PrefixSketch.EMPTY)));
    }

    /** Applies a peer's update. */
    void handleUpdate(PeerUpdate update, long nowMillis) {
        if (update.leaving()) {
            stayingPeers.remove(update.name());
        } else {
            stayingPeers.put(update.name(), nowMillis);
        }
        EngineLoads loads = fleet.loads();
        update.loads()
                .ifPresentOrElse(
                        peerLoads -> loads.updatePeer(update.name(), peerLoads, update.crossings(), nowMillis),
                        () -> loads.keepPeer(update.name(), update.crossings(), nowMillis));
        sharedRetries.applyPeerUpdate(update.name(), update.retryLoans(), nowMillis);
        poisonGuard.applyPeerUpdate(update.name(), update.poison(), nowMillis);
        applyDemand(update, nowMillis);
        update.slowdowns().forEach((id, slowdown) -> {
            if (loads.slowdown(id) == 1) {
                loads.setSlowdown(id, slowdown, nowMillis - SLOWDOWN_AGE_MILLIS);
            }
        });
        // A gateway whose own link or processor is overloaded gets no answers and considers every server dead, so its
        // update is a reason to probe and no proof: taken as proof, it made gateways give up 52 of 80 layers of a data
        // centre.
        for (BackendServerId id : update.suspects()) {
            if (!fleet.isSuspect(id, nowMillis)) {
                fleet.registry().server(id).ifPresent(server -> probe.accept(server, nowMillis));
            }
        }
    }

    private void applyDemand(PeerUpdate update, long nowMillis) {
        DataCentre dataCentre = update.sender().dataCentre();
        DemandSection section = update.demandSection();
        long silence = section.silenceMillis();
        fleet.promptHolders()
                .ifPresent(holders -> holders.updatePeer(update.name(), section.prefixes(), silence, nowMillis));
        if (section.omitted()) {
            return;
        }
        section.report()
                .ifPresentOrElse(
                        report -> fleet.demand().updatePeer(update.name(), dataCentre, report, silence, nowMillis),
                        () -> fleet.demand().removePeer(update.name()));
        section.status()
                .ifPresentOrElse(
                        status -> fleet.gatewayStatuses().update(update.name(), dataCentre, status, silence, nowMillis),
                        () -> fleet.gatewayStatuses().remove(update.name()));
    }
}
