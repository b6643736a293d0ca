package org.cornelramp.gateway.route;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.path.EngineLoads;
import org.cornelramp.core.retry.RepeatNews;
import org.cornelramp.gateway.peer.PeerLink;
import org.cornelramp.gateway.peer.PeerNews;
import org.cornelramp.gateway.peer.PeerTurns;

/**
 * Prepares the news that this gateway sends to its peers, and applies the news of its peers. Confined to the router's
 * thread.
 */
final class PeerNewsHandler {
    /**
     * Age that is assigned to a pace from a peer's news, so that two gateways do not keep an outdated pace alive by
     * sending it to each other.
     */
    private static final long PACE_AGE_MILLIS = 2_500;

    /**
     * How long a failure that this process has observed stays in its news, since datagrams may be lost. Shorter than a
     * suspicion lasts; otherwise a server that has just recovered would be suspected again.
     */
    private static final long FAILURE_NEWS_MILLIS = 1_000;

    private final PeerNews.Sender sender;
    private final FleetState fleet;
    private final SharedRetries sharedRetries;
    private final Consumer<BackendServer> probe;
    private final Map<BackendServerId, Long> failuresSeen = new HashMap<>();
    private final Map<String, Long> stayingPeers = new ConcurrentHashMap<>();
    private volatile boolean leaving;
    private long number;
    private volatile PeerNews news;

    /** @param probe probes a server that a peer has seen fail */
    PeerNewsHandler(
            String name,
            DataCentre dataCentre,
            FleetState fleet,
            SharedRetries sharedRetries,
            Consumer<BackendServer> probe) {
        this.sender = new PeerNews.Sender(name, PeerLink.newLife(), dataCentre);
        this.fleet = fleet;
        this.sharedRetries = sharedRetries;
        this.probe = probe;
        this.news = PeerNews.of(sender, 0, false, Map.of(), 0, Map.of(), Set.of(), RepeatNews.NONE);
    }

    /** The news to send now; may be called by any thread. */
    PeerNews news() {
        return news;
    }

    /** Marks this process as stopping in its news; may be called by any thread. */
    void announceStop() {
        leaving = true;
    }

    /** Whether there is a peer that is not stopping; may be called by any thread. */
    boolean hasStayingPeer() {
        return !stayingPeers.isEmpty();
    }

    /**
     * Records that this process itself has seen a server fail. Failures from peers' news are not forwarded, or they
     * would circulate without end.
     */
    void recordFailure(BackendServerId id, long nowMillis) {
        failuresSeen.put(id, nowMillis);
    }

    /** Builds the current news and drops expired entries. */
    void updateNews(long nowMillis) {
        EngineLoads loads = fleet.loads();
        loads.forgetPaces(nowMillis);
        // News may have been waiting unread for as long as this process is late.
        long silence = PeerTurns.silenceMillis(loads.peerCount()) + fleet.lagMillis();
        loads.forgetSilent(silence, nowMillis);
        sharedRetries.setPeers(loads.peerCount(), nowMillis);
        stayingPeers.values().removeIf(at -> nowMillis - at > silence);
        failuresSeen.values().removeIf(at -> nowMillis - at > FAILURE_NEWS_MILLIS);
        news = PeerNews.of(
                sender,
                ++number,
                leaving,
                loads.own(),
                loads.ownCrossings(),
                loads.unusualPaces(),
                failuresSeen.keySet(),
                sharedRetries.news(nowMillis));
    }

    /** Applies a peer's news. */
    void handleNews(PeerNews theirs, long nowMillis) {
        if (theirs.leaving()) {
            stayingPeers.remove(theirs.name());
        } else {
            stayingPeers.put(theirs.name(), nowMillis);
        }
        EngineLoads loads = fleet.loads();
        theirs.loads()
                .ifPresentOrElse(
                        peerLoads -> loads.peer(theirs.name(), peerLoads, theirs.crossings(), nowMillis),
                        () -> loads.heard(theirs.name(), theirs.crossings(), nowMillis));
        sharedRetries.applyPeerNews(theirs.name(), theirs.repeats(), nowMillis);
        theirs.paces().forEach((id, pace) -> {
            if (loads.pace(id) == 1) {
                loads.setPace(id, pace, nowMillis - PACE_AGE_MILLIS);
            }
        });
        // A gateway whose own link or processor is overloaded gets no answers and considers every server dead, so its
        // news is a reason to probe and no proof: taken as proof, it made gateways give up 52 of 80 layers of a data
        // centre.
        for (BackendServerId id : theirs.suspects()) {
            if (!fleet.isSuspect(id, nowMillis)) {
                fleet.registry().server(id).ifPresent(probe);
            }
        }
    }
}
