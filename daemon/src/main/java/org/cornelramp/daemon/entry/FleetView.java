package org.cornelramp.daemon.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.cornelramp.core.member.Member;
import org.cornelramp.core.member.Membership;

/**
 * The agents as this entry sees them, for status pages: a copy that the router renews at an interval.
 *
 * <p>{@link #members} is safe for use by any thread; the rest is confined to the router's.
 */
public final class FleetView {
    private static final Duration INTERVAL = Duration.ofMillis(100);

    private final Membership membership;
    private volatile List<Member> members = List.of();
    private Instant nextAt = Instant.MIN;

    FleetView(Membership membership) {
        this.membership = membership;
    }

    /** The agents, at most a tenth of a second old. */
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
