package org.cornelramp.gateway.place;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.cornelramp.core.settings.HostPort;
import org.cornelramp.gateway.SteadyClock;
import org.cornelramp.gateway.follow.StoreAccess;
import org.cornelramp.gateway.log.EventLog;
import org.cornelramp.gateway.metrics.Meters;
import org.cornelramp.platform.MetadataStore;
import org.cornelramp.platform.StoreFault;

/**
 * Says whether this process leads, and knows the other members of its group.
 *
 * <p>The store shares a topic's partitions out among the members of a group; whoever holds the first one leads, and
 * goes on leading for the membership's time to live after the last call that the store answered: nothing is placed
 * while the store is away, so a longer lead would buy nothing. Its own thread calls the store, so that a silent store
 * holds up no plan; {@link #term} may be called by any thread.
 */
public final class LeaderLease {
    /** The term of a process that does not lead. */
    public static final Term NONE = new Term(-1, -1);

    /** Before the store has answered for the first time. */
    private static final long NO_ERA = -1;

    private static final String GROUP = "placement";
    private static final char MEMBER_SEPARATOR = '~';
    private static final long STEP_MILLIS = 100;

    /** A lost leader is replaced after this time; renewals cost a tenth of a call. */
    private static final long TTL_MILLIS = 2_000;

    private static final long JOIN_MILLIS = 600;

    /** Interval until the store has answered for the first time: callers wait for what it knows. */
    private static final long FIRST_JOIN_MILLIS = 200;

    /**
     * Interval in which the members are read, each read being paid for. A new gateway reads them at its start, tells
     * them its news, and they introduce it to the others; this only mends what datagrams have lost.
     */
    private static final long MEMBERS_MILLIS = 15_000;

    /** While the number of members changes, they are read more often, as at a start of all. */
    private static final long FIRST_MEMBERS_MILLIS = 1_000;

    private final String member;
    private final Consumer<List<HostPort>> onPeers;
    private final MetadataStore store;
    private final StoreAccess access;
    private final SteadyClock clock;
    private final EventLog log;
    private final Meters meters;
    private final Thread thread = new Thread(this::run, "lease");
    private volatile boolean running = true;
    private volatile State state = new State(NONE, 0, NO_ERA);
    private long generation;
    private long joinDue;
    private long membersDue;
    private int peersKnown;

    /**
     * A time of leading without a break. Immutable, safe for use by any thread.
     *
     * @param era era of the store in which it was given
     * @param generation number of the group's membership by which it was given
     */
    public record Term(long era, long generation) {}

    private record State(Term term, long untilMillis, long era) {}

    /**
     * @param name name of this process
     * @param address where it takes its peers' news
     * @param onPeers is told the addresses of all members
     * @param access is told whether the store answers
     */
    public LeaderLease(
            String name,
            HostPort address,
            Consumer<List<HostPort>> onPeers,
            MetadataStore store,
            StoreAccess access,
            SteadyClock clock,
            EventLog log,
            Meters meters) {
        this.member = name + MEMBER_SEPARATOR + address;
        this.onPeers = onPeers;
        this.store = store;
        this.access = access;
        this.clock = clock;
        this.log = log;
        this.meters = meters;
        thread.setDaemon(true);
    }

    /** Starts the thread. */
    public void start() {
        thread.start();
    }

    /** Tells the thread to end; a call under way is not waited for. */
    public void stop() {
        running = false;
        thread.interrupt();
    }

    /**
     * The term in which this process leads; {@link #NONE} if it does not.
     *
     * <p>A term ends with the era of the store in which it was given: a restored store knows members and generations of
     * before and may have given the lead to another process, and the same number out again.
     */
    public Term term(long nowMillis) {
        State now = state;
        return nowMillis < now.untilMillis() && now.era() == store.era() ? now.term() : NONE;
    }

    private void run() {
        while (running) {
            try {
                step(clock.millis());
            } catch (RuntimeException e) {
                log.line("lease", "step failed").with("fault", e).write();
            }
            LockSupport.parkNanos(this, STEP_MILLIS * 1_000_000L);
        }
    }

    private void step(long now) {
        if (now >= joinDue) {
            join(now);
            joinDue = now + (access.hasEverAnswered() ? JOIN_MILLIS : FIRST_JOIN_MILLIS);
        }
        if (now >= membersDue && !access.isAway()) {
            readMembers(now);
        }
    }

    private void join(long now) {
        Either<StoreFault, MetadataStore.Membership> joined = store.join(GROUP, member, GROUP, TTL_MILLIS, generation);
        meters.storeCall("join", joined.fold(fault -> fault.kind().name(), any -> "ok"));
        if (joined.isLeft()) {
            access.failed();
            log.line("lease", "not joined").with("fault", joined.getLeft()).write();
            return;
        }
        access.answered(clock.millis());
        State old = state;
        long era = joined.get().era();
        boolean restored = old.era() != NO_ERA && era != old.era();
        // Until the process that led before has heard of the restore, it may still think that it leads.
        boolean leading = joined.get().holdsFirst() && !restored;
        generation = restored ? 0 : joined.get().generation();
        boolean wasLeading = !old.term().equals(NONE);
        Term term = wasLeading ? old.term() : new Term(era, generation);
        state = new State(leading ? term : NONE, now + TTL_MILLIS, era);
        if (leading != wasLeading) {
            log.line("lease", leading ? "leads" : "follows")
                    .with("term", generation)
                    .with("era", era)
                    .write();
        }
    }

    private void readMembers(long now) {
        Either<StoreFault, Set<String>> members = store.members(GROUP);
        meters.storeCall("members", members.fold(fault -> fault.kind().name(), any -> "ok"));
        List<HostPort> peers = new ArrayList<>();
        members.getOrElse(Set.of()).forEach(one -> address(one).ifPresent(peers::add));
        boolean settled = peers.size() > 1 && peers.size() == peersKnown;
        membersDue = now + (settled ? MEMBERS_MILLIS : FIRST_MEMBERS_MILLIS);
        if (members.isLeft()) {
            return;
        }
        if (peers.size() != peersKnown) {
            log.line("peers", "known").with("count", peers.size()).write();
        }
        peersKnown = peers.size();
        onPeers.accept(List.copyOf(peers));
    }

    private static Optional<HostPort> address(String member) {
        try {
            return Optional.of(HostPort.parse(member.substring(member.indexOf(MEMBER_SEPARATOR) + 1)));
        } catch (IllegalArgumentException e) {
            return Optional.empty(); // a member of another version, which takes no news
        }
    }
}
