package org.cornelramp.core.selection;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.cornelramp.core.model.AgentLoad;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.model.LayerRange;
import org.cornelramp.core.model.Offer;
import org.cornelramp.core.model.ServiceName;

/** Candidates and requests for tests of the choosers. */
final class TestFleets {
    static final ServiceName MODEL = new ServiceName("model");
    static final ServiceName BOOKING = new ServiceName("booking");
    static final DataCentre HERE = new DataCentre("dc-1");
    static final Instant NOW = Instant.ofEpochSecond(1_000_000);

    private TestFleets() {}

    static Candidate stage(String name, int from, int to, int total, AgentLoad load) {
        Offer offer = new Offer(MODEL, Optional.of(new LayerRange(from, to, total)), "1", "a", 16);
        return new Candidate(incarnation(name), HERE, offer, load, 0, 0, 1);
    }

    static Candidate service(String name, AgentLoad load) {
        Offer offer = new Offer(BOOKING, Optional.empty(), "1", "none", 4);
        return new Candidate(incarnation(name), HERE, offer, load, 0, 0, 1);
    }

    static Incarnation incarnation(String name) {
        return new Incarnation(new BackendServerId(name), name.hashCode());
    }

    static AgentLoad load(long queuedTokens, double tokensPerSecond) {
        return new AgentLoad(queuedTokens == 0 ? 0 : 1, 0, queuedTokens, tokensPerSecond, 0, 1);
    }

    static RoutingRequest modelRequest(int prompt, int tokens, Duration budget) {
        return new RoutingRequest(MODEL, prompt, tokens, NOW.plus(budget), "", Set.of());
    }

    static RoutingRequest bookingRequest(Duration budget) {
        return new RoutingRequest(BOOKING, 0, 0, NOW.plus(budget), "", Set.of());
    }

    /** Stages with random layer ranges of a model, of two versions; the ranges may leave gaps. */
    static List<Candidate> randomFleet(Random random, int size, int total) {
        List<Candidate> fleet = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            int from = random.nextInt(total);
            int to = from + 1 + random.nextInt(total - from);
            Candidate c = stage("b" + i, from, to, total, load(random.nextInt(5_000), random.nextInt(4) * 500));
            Offer offer = new Offer(MODEL, c.offer().layers(), "" + (1 + random.nextInt(2)), "a", 16);
            fleet.add(new Candidate(c.incarnation(), HERE, offer, c.load(), 0, i % 3, 1));
        }
        return fleet;
    }
}
