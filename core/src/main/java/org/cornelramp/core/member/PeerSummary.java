package org.cornelramp.core.member;

/**
 * What a gateway knows of its data centre when it decides. Immutable, safe for use by any thread.
 *
 * @param known gateways that are remembered, without this one
 * @param fresh those with a fresh status
 * @param away those that are not ready or have no fresh status, and so may be out of the balancer's rotation
 * @param quota how many gateways may be unready by their own decision, this one included
 * @param relieving larger and less loaded gateways that are ready
 * @param before overloaded ready gateways that should become unready before this one: smaller or more loaded ones
 * @param awayBefore gateways that are away and take precedence when too many have announced it together
 * @param oldestMillis greatest age of a remembered status; 0 if there is none
 */
public record PeerSummary(
        int known, int fresh, int away, int quota, int relieving, int before, int awayBefore, long oldestMillis) {
    /** The summary when no gateway is known. */
    public static final PeerSummary EMPTY = new PeerSummary(0, 0, 0, 0, 0, 0, 0, 0);

    /** Whether another gateway may become unready besides those that are away. */
    boolean hasPlace() {
        return away < quota;
    }

    /** Whether larger gateways have capacity left, and most statuses are fresh. */
    boolean hasRelief() {
        return relieving > 0 && 2 * fresh > known;
    }
}
