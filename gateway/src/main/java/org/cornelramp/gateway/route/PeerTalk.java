package org.cornelramp.gateway.route;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.cornelramp.core.fleet.Suspicions.Evidence;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.path.EngineLoads;
import org.cornelramp.gateway.log.EventLog;
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

    private final String name;
    private final Beliefs beliefs;
    private final EventLog log;
    private final long life = PeerLink.newLife();
    private final Map<BackendServerId, Long> seenFail = new HashMap<>();
    private final Map<String, Long> staying = new ConcurrentHashMap<>();
    private volatile boolean leaving;
    private long number;
    private volatile PeerNews news;

    PeerTalk(String name, Beliefs beliefs, EventLog log) {
        this.name = name;
        this.beliefs = beliefs;
        this.log = log;
        this.news = PeerNews.of(name, life, 0, false, Map.of(), 0, Map.of(), Set.of());
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
        loads.forgetPaces(nowMillis);
        long silence = PeerTurns.silenceMillis(loads.peerCount());
        loads.forgetSilent(silence, nowMillis);
        staying.values().removeIf(at -> nowMillis - at > silence);
        seenFail.values().removeIf(at -> nowMillis - at > TELL_MILLIS);
        news = PeerNews.of(
                name,
                life,
                ++number,
                leaving,
                loads.own(),
                loads.ownCrossings(),
                loads.unusualPaces(),
                seenFail.keySet());
    }

    /** Takes a peer's news. */
    void told(PeerNews theirs, long nowMillis) {
        if (theirs.leaving()) {
            staying.remove(theirs.name());
        } else {
            staying.put(theirs.name(), nowMillis);
        }
        EngineLoads loads = beliefs.loads();
        loads.peer(theirs.name(), theirs.loads(), theirs.crossings(), nowMillis);
        theirs.paces().forEach((id, pace) -> {
            if (loads.pace(id) == 1) {
                loads.setPace(id, pace, nowMillis - PACE_AGE_MILLIS);
            }
        });
        for (BackendServerId id : theirs.suspects()) {
            if (beliefs.registry().server(id).isPresent()
                    && beliefs.suspicions().suspect(id, Evidence.LOST, nowMillis)) {
                log.line("fleet", "suspected")
                        .with("server", id)
                        .with("evidence", Evidence.LOST)
                        .with("why", "told by " + theirs.name())
                        .write();
            }
        }
    }
}
