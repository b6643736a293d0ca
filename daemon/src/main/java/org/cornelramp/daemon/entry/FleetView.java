package org.cornelramp.daemon.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.cornelramp.core.member.Member;
import org.cornelramp.core.member.Membership;

/**
 * A snapshot of the agents that this entry knows, for status pages. The router refreshes it at an interval.
 *
 * <p>{@link #members} is safe for use by any thread; everything else is confined to the router's thread.
 */
public final class FleetView {
    private static final Duration INTERVAL = Duration.ofMillis(100);

    private final Membership membership;
    private volatile List<Member> members = List.of();
    private Instant nextAt = Instant.MIN;

    FleetView(Membership membership) {
        this.membership = membership;
    }

    /** Returns the agents, refreshed every 100 ms. */
    public List<Member> members() {
        return members;
    }

    void tick(Instant now) {
        if (!now.isBefore(nextAt)) {
            members = List.copyOf(membership.members());
            nextAt = now.plus(INTERVAL);
        }
    }
}
