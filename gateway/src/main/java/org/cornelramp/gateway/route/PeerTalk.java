package org.cornelramp.gateway.route;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.cornelramp.core.fleet.Suspicions.Evidence;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.path.EngineLoads;
import org.cornelramp.gateway.log.EventLog;
import org.cornelramp.gateway.peer.PeerLink;
import org.cornelramp.gateway.peer.PeerNews;

/** What this gateway tells its peers, and what it believes of what they tell. Owned by the router's duty. */
final class PeerTalk {
    /** A peer that is silent for so long is dead or cut off. */
    private static final long PEER_SILENCE_MILLIS = 1_000;

    /** A pace that a peer tells counts as so old, so that two gateways do not keep it alive for each other. */
    private static final long PACE_AGE_MILLIS = 2_500;

    /** How long a failure that this process has seen is told to its peers: datagrams may be lost. */
    private static final long TELL_MILLIS = 400;

    private final String name;
    private final Beliefs beliefs;
    private final EventLog log;
    private final long life = PeerLink.newLife();
    private final Map<BackendServerId, Long> seenFail = new HashMap<>();
    private long number;
    private volatile PeerNews news;

    PeerTalk(String name, Beliefs beliefs, EventLog log) {
        this.name = name;
        this.beliefs = beliefs;
        this.log = log;
        this.news = new PeerNews(name, life, 0, Map.of(), 0, Map.of(), Set.of());
    }

    /** The news to tell now; may be called by any thread. */
    PeerNews news() {
        return news;
    }

    /** Notes that this process itself has seen a server fail. What peers tell is not told on, or it would never end. */
    void sawFail(BackendServerId id, long nowMillis) {
        seenFail.put(id, nowMillis);
    }

    /** Makes the news of this moment, and forgets what is too old. */
    void prepare(long nowMillis) {
        EngineLoads loads = beliefs.loads();
        loads.forgetPaces(nowMillis);
        loads.forgetSilent(PEER_SILENCE_MILLIS, nowMillis);
        seenFail.values().removeIf(at -> nowMillis - at > TELL_MILLIS);
        news = new PeerNews(
                name, life, ++number, loads.own(), loads.ownCrossings(), loads.unusualPaces(), seenFail.keySet());
    }

    /** Takes a peer's news. */
    void told(PeerNews theirs, long nowMillis) {
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
