package org.cornelramp.core.member;

/**
 * What a gateway does about its load until its next decision, and the inputs of the decision. Immutable, safe for use by
 * any thread.
 *
 * @param state its readiness
 * @param closing whether it closes connections
 * @param closeShare share of the responses after which it closes the connection
 * @param decidedMillis when it was decided, on the steady clock
 * @param unreadyUntilMillis latest end of the present unreadiness, on the steady clock
 * @param unreadyMillis total time for which it was unready
 * @param capacityCores processor time that this process may use, in cores
 * @param load its load; 0 while it is unknown
 * @param peers what was known of the other gateways
 */
public record CapacityDecision(
        State state,
        boolean closing,
        double closeShare,
        long decidedMillis,
        long unreadyUntilMillis,
        long unreadyMillis,
        double capacityCores,
        double load,
        PeerSummary peers) {
    /** Age up to which connections are closed by a decision; later ones come every half second. */
    private static final long VALID_MILLIS = 2_000;

    /** Readiness of a gateway as far as its load decides it. */
    public enum State {
        /** Ready. */
        READY,
        /** Still ready; peers are told that it will not be, so that they count it before it leaves the rotation. */
        ANNOUNCED,
        /** Not ready. */
        UNREADY,
        /** Ready again; peers count it as not ready until the balancer has noticed. */
        RETURNING
    }

    /** Share of the responses after which connections are closed; 0 if the decision is old. */
    public double closeShare(long nowMillis) {
        return nowMillis - decidedMillis <= VALID_MILLIS ? closeShare : 0;
    }

    /** Whether this gateway is ready as far as its load decides it; an unready one is ready again without a decision. */
    public boolean isReady(long nowMillis) {
        return state != State.UNREADY || nowMillis >= unreadyUntilMillis;
    }

    /**
     * The status to report to peers.
     *
     * @param otherwiseReady whether nothing else keeps this gateway from being ready
     */
    public GatewayStatus status(boolean otherwiseReady) {
        return new GatewayStatus(capacityCores, load, otherwiseReady && state == State.READY);
    }
}
