package org.cornelramp.core.member;

import java.util.Collection;
import java.util.Optional;
import org.cornelramp.core.member.CapacityDecision.State;

/**
 * Decides whether an overloaded small gateway closes connections, and whether it leaves the balancer's rotation, so that
 * clients connect to larger gateways. Confined to one thread; the decisions may be used by any thread.
 *
 * <p>Invariants: at most a quarter of a data centre's gateways are unready at once by these decisions, as long as a status
 * takes at most {@link #SETTLE_MILLIS} less {@link KnownGateways#FRESH_MILLIS} from its sender's decision to its receiver's;
 * a gateway is unready for at most 4 s within any 40 s. Without larger gateways in the data centre it does nothing.
 *
 * <p>A gateway reports itself as not ready for {@link #SETTLE_MILLIS} before it is. Of two gateways that become unready, the
 * later one therefore has a status of the earlier one that says so, and does not become unready if there are too many.
 */
public final class CapacityController {
    /** Load from which on connections are closed, and below which they are not closed any more. */
    static final double CLOSE_ABOVE = 0.7;

    static final double CLOSE_UNTIL = 0.55;

    /** Load from which on a gateway wants to be unready, and below which it is ready again. */
    static final double UNREADY_ABOVE = 1.0;

    static final double UNREADY_UNTIL = 0.8;

    /** Largest share of responses that close: a connection costs more than a request and must serve several. */
    static final double MAX_CLOSE_SHARE = 0.25;

    /** Time from the announcement until the gateway is unready. */
    static final long SETTLE_MILLIS = 2_800;

    /** Longest unreadiness: the balancer needs up to 2 s to notice, and 4 s in 40 s are allowed. */
    static final long MAX_UNREADY_MILLIS = 3_600;

    /** Time from the beginning of an unreadiness to the next, and from the start of the process to the first. */
    static final long MIN_INTERVAL_MILLIS = 40_000;

    /** Time after an unreadiness in which the balancer, which asks every second, notices its end. */
    static final long RETURN_MILLIS = 1_200;

    /** Time for which a gateway that finds too many others unready waits for them if it takes precedence. */
    private static final long MAX_WAIT_MILLIS = 2_000;

    /** Time after a withdrawn announcement until the next one. */
    private static final long PAUSE_MILLIS = 3_000;

    /** Time between two decisions from which on this process was suspended: statuses that waited meanwhile look fresh. */
    private static final long GAP_MILLIS = 1_000;

    private final String name;
    private final double capacityCores;
    private final KnownGateways gateways = new KnownGateways();
    private CapacityDecision decision;
    private State state = State.READY;
    private boolean closing;
    private int overloadedCount;
    private long stateSinceMillis;
    private long nextAnnouncementMillis;
    private long finishedUnreadyMillis;

    /**
     * @param name name of this gateway
     * @param capacityCores processor time that it may use, in cores
     */
    public CapacityController(String name, double capacityCores, long nowMillis) {
        this.name = name;
        this.capacityCores = capacityCores;
        this.nextAnnouncementMillis = nowMillis + MIN_INTERVAL_MILLIS;
        this.stateSinceMillis = nowMillis;
        this.decision = decide(0, PeerSummary.EMPTY, nowMillis);
    }

    /** The last decision. */
    public CapacityDecision decision() {
        return decision;
    }

    /**
     * Decides anew; to be called about twice a second.
     *
     * @param measured the load of this gateway; empty while it is unknown
     * @param statuses the known statuses of the other gateways of the data centre
     */
    public CapacityDecision update(Optional<GatewayLoad> measured, Collection<PeerStatus> statuses, long nowMillis) {
        boolean suspended = nowMillis - decision.decidedMillis() > GAP_MILLIS;
        gateways.observe(statuses, nowMillis);
        double load = measured.map(GatewayLoad::value).orElse(0.0);
        boolean hasRequests = measured.map(GatewayLoad::requests).orElse(0) > 0;
        PeerSummary peers = gateways.summary(name, capacityCores, load, nowMillis);
        closing = hasRequests && peers.hasRelief() && load >= (closing ? CLOSE_UNTIL : CLOSE_ABOVE);
        overloadedCount = closing && load >= UNREADY_ABOVE ? overloadedCount + 1 : 0;
        boolean stillOverloaded = closing && load >= UNREADY_UNTIL && !suspended;
        switch (state) {
            case READY -> announceIfNecessary(peers, nowMillis);
            case ANNOUNCED -> confirm(peers, stillOverloaded, nowMillis);
            case UNREADY -> returnIfNecessary(stillOverloaded && peers.hasPlace(), nowMillis);
            case RETURNING -> {
                if (nowMillis - stateSinceMillis >= RETURN_MILLIS) {
                    enter(State.READY, nowMillis);
                }
            }
        }
        decision = decide(load, peers, nowMillis);
        return decision;
    }

    private void announceIfNecessary(PeerSummary peers, long nowMillis) {
        boolean hasTurn = peers.hasPlace() && peers.before() < peers.quota() - peers.away();
        if (overloadedCount >= 2 && hasTurn && nowMillis >= nextAnnouncementMillis) {
            enter(State.ANNOUNCED, nowMillis);
        }
    }

    private void confirm(PeerSummary peers, boolean stillOverloaded, long nowMillis) {
        long announcedMillis = nowMillis - stateSinceMillis;
        boolean waits = announcedMillis < SETTLE_MILLIS
                || (peers.awayBefore() < peers.quota() && announcedMillis < SETTLE_MILLIS + MAX_WAIT_MILLIS);
        if (!stillOverloaded || (!peers.hasPlace() && !waits)) {
            nextAnnouncementMillis = nowMillis + PAUSE_MILLIS;
            enter(State.READY, nowMillis);
        } else if (peers.hasPlace() && announcedMillis >= SETTLE_MILLIS) {
            nextAnnouncementMillis = nowMillis + MIN_INTERVAL_MILLIS;
            enter(State.UNREADY, nowMillis);
        }
    }

    private void returnIfNecessary(boolean staysAway, long nowMillis) {
        if (!staysAway || nowMillis >= stateSinceMillis + MAX_UNREADY_MILLIS) {
            finishedUnreadyMillis += Math.min(MAX_UNREADY_MILLIS, nowMillis - stateSinceMillis);
            enter(State.RETURNING, nowMillis);
        }
    }

    private void enter(State next, long nowMillis) {
        state = next;
        stateSinceMillis = nowMillis;
    }

    private CapacityDecision decide(double load, PeerSummary peers, long nowMillis) {
        double excess = Math.min(1, (load - CLOSE_UNTIL) / (UNREADY_ABOVE - CLOSE_UNTIL));
        long presentMillis = state == State.UNREADY ? nowMillis - stateSinceMillis : 0;
        return new CapacityDecision(
                state,
                closing,
                closing ? MAX_CLOSE_SHARE * excess : 0,
                nowMillis,
                state == State.UNREADY ? stateSinceMillis + MAX_UNREADY_MILLIS : nowMillis,
                finishedUnreadyMillis + presentMillis,
                capacityCores,
                load,
                peers);
    }
}
