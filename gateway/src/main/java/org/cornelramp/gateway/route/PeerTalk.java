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
import org.cornelramp.core.retry.RetryLoanUpdate;
import org.cornelramp.gateway.peer.PeerLink;
import org.cornelramp.gateway.peer.PeerNews;
import org.cornelramp.gateway.peer.PeerTurns;

/** What this gateway tells its peers, and what it believes of what they tell. Owned by the router's duty. */
final class PeerTalk {
    /** A pace that a peer tells counts as so old, so that two gateways do not keep it alive for each other. */
    private static final long PACE_AGE_MILLIS = 2_500;

    /**
     * How long a failure that this process has seen is told to its peers, since datagrams may be lost. Less than a
     * suspicion lasts, or a server that has just come back would be suspected again.
     */
    private static final long TELL_MILLIS = 1_000;

    private final PeerNews.Sender sender;
    private final Beliefs beliefs;
    private final Repeats repeats;
    private final Consumer<BackendServer> ask;
    private final Map<BackendServerId, Long> seenFail = new HashMap<>();
    private final Map<String, Long> staying = new ConcurrentHashMap<>();
    private volatile boolean leaving;
    private long number;
    private volatile PeerNews news;

    /** @param ask asks a server that a peer has seen fail whether it lives */
    PeerTalk(String name, DataCentre dataCentre, Beliefs beliefs, Repeats repeats, Consumer<BackendServer> ask) {
        this.sender = new PeerNews.Sender(name, PeerLink.newLife(), dataCentre);
        this.beliefs = beliefs;
        this.repeats = repeats;
        this.ask = ask;
        this.news = PeerNews.of(sender, 0, false, Map.of(), 0, Map.of(), Set.of(), RetryLoanUpdate.NONE);
    }

    /** The news to tell now; may be called by any thread. */
    PeerNews news() {
        return news;
    }

    /** Notes that this process is stopping. */
    void leave() {
        leaving = true;
    }

    /** Whether a peer is there that is not stopping; may be called by any thread. */
    boolean hasStayingPeer() {
        return !staying.isEmpty();
    }

    /** Notes that this process itself has seen a server fail. What peers tell is not told on, or it would never end. */
    void sawFail(BackendServerId id, long nowMillis) {
        seenFail.put(id, nowMillis);
    }

    /** Makes the news of this moment, and forgets what is too old. */
    void prepare(long nowMillis) {
        EngineLoads loads = beliefs.loads();
        loads.removeExpiredSlowdowns(nowMillis);
        // News may lie unread for as long as this process ran late.
        long silence = PeerTurns.silenceMillis(loads.peerCount()) + beliefs.lagMillis();
        loads.removeSilentPeers(silence, nowMillis);
        repeats.setPeers(loads.peerCount(), nowMillis);
        staying.values().removeIf(at -> nowMillis - at > silence);
        seenFail.values().removeIf(at -> nowMillis - at > TELL_MILLIS);
        news = PeerNews.of(
                sender,
                ++number,
                leaving,
                loads.ownLoads(),
                loads.ownCrossings(),
                loads.slowdownFactors(),
                seenFail.keySet(),
                repeats.news(nowMillis));
    }

    /** Takes a peer's news. */
    void told(PeerNews theirs, long nowMillis) {
        if (theirs.leaving()) {
            staying.remove(theirs.name());
        } else {
            staying.put(theirs.name(), nowMillis);
        }
        EngineLoads loads = beliefs.loads();
        theirs.loads()
                .ifPresentOrElse(
                        told -> loads.updatePeer(theirs.name(), told, theirs.crossings(), nowMillis),
                        () -> loads.keepPeer(theirs.name(), theirs.crossings(), nowMillis));
        repeats.told(theirs.name(), theirs.repeats(), nowMillis);
        theirs.paces().forEach((id, pace) -> {
            if (loads.slowdown(id) == 1) {
                loads.setSlowdown(id, pace, nowMillis - PACE_AGE_MILLIS);
            }
        });
        // A gateway whose own link or processor is overloaded gets no answers and takes everyone for dead, so what it
        // tells is a reason to ask, and no proof: once 52 of 80 layers of a data centre were given up on its word.
        for (BackendServerId id : theirs.suspects()) {
            if (!beliefs.isSuspect(id, nowMillis)) {
                beliefs.registry().server(id).ifPresent(ask);
            }
        }
    }
}
