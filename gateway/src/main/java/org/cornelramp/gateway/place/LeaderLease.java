package org.cornelramp.gateway.place;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadFactory;
import java.util.function.Consumer;
import org.cornelramp.core.settings.HostPort;
import org.cornelramp.daemon.kernel.StepGuard;
import org.cornelramp.gateway.SteadyClock;
import org.cornelramp.gateway.follow.StoreAvailability;
import org.cornelramp.gateway.log.EventLog;
import org.cornelramp.gateway.metrics.Meters;
import org.cornelramp.platform.MemberStore;
import org.cornelramp.platform.MetadataStore;
import org.cornelramp.platform.PlatformFault;

/**
 * Determines whether this process is the leader, and reads the addresses of the other group members.
 *
 * <p>The store assigns a topic's partitions to the members of a group; the member that holds the first partition is the
 * leader. It stays leader for the membership's time to live after the last call that the store answered; a longer lease
 * would have no use, as nothing is placed while the store is unavailable. The store is called on a separate thread, so
 * that a store that does not answer never delays placement; {@link #term} may be called by any thread.
 */
public final class LeaderLease {
    /** The term of a process that is not the leader. */
    public static final Term NONE = new Term(-1, -1);

    /** The era until the store has answered for the first time. */
    private static final long NO_ERA = -1;

    private static final String GROUP = "placement";
    private static final char MEMBER_SEPARATOR = '~';
    private static final long STEP_MILLIS = 100;

    /**
     * Time to live of the membership, after which a lost leader is replaced. A renewal costs a tenth of another call.
     */
    private static final long TTL_MILLIS = 2_000;

    private static final long JOIN_INTERVAL_MILLIS = 600;

    /**
     * Interval of the leader's joins, which are the cheapest proof that its way to the store works: its peers use its
     * position only for a short time after the last answer.
     */
    private static final long LEADER_JOIN_INTERVAL_MILLIS = 300;

    /**
     * Interval of joins until the store has answered for the first time; shorter, as clients wait for the configuration
     * and the servers.
     */
    private static final long FIRST_JOIN_INTERVAL_MILLIS = 200;

    /**
     * Interval at which the members are read; each read is billed. A new gateway reads the members at its start and
     * sends them an update, and they pass its address on to the others, so later reads only make up for lost datagrams.
     */
    private static final long MEMBERS_INTERVAL_MILLIS = 15_000;

    /** Interval at which the members are read while their number changes, for example when all gateways start. */
    private static final long CHANGING_MEMBERS_INTERVAL_MILLIS = 1_000;

    private final String member;
    private final Consumer<List<HostPort>> onPeers;
    private final MemberStore store;
    private final StoreAvailability storeAvailability;
    private final SteadyClock clock;
    private final EventLog log;
    private final Meters meters;
    private final Thread thread;
    private volatile boolean running = true;
    private volatile State state = new State(NONE, 0, NO_ERA);
    private long generation;
    private long nextJoinMillis;
    private long nextMembersMillis;
    private int peerCount;

    /**
     * An uninterrupted time as leader. Immutable, safe for use by any thread.
     *
     * @param era era of the store in which the term began
     * @param generation generation of the group membership in which the term began
     */
    public record Term(long era, long generation) {}

    private record State(Term term, long untilMillis, long era) {}

    /**
     * @param name name of this process
     * @param address address on which it receives its peers' updates
     * @param onPeers receives the addresses of all members
     * @param storeAvailability records whether the store answers
     * @param threads creates the thread that calls the store
     */
    public LeaderLease(
            String name,
            HostPort address,
            Consumer<List<HostPort>> onPeers,
            MemberStore store,
            StoreAvailability storeAvailability,
            ThreadFactory threads,
            SteadyClock clock,
            EventLog log,
            Meters meters) {
        this.member = name + MEMBER_SEPARATOR + address;
        this.onPeers = onPeers;
        this.store = store;
        this.storeAvailability = storeAvailability;
        this.clock = clock;
        this.log = log;
        this.meters = meters;
        this.thread = threads.newThread(this::run);
        thread.setName("lease");
        thread.setDaemon(true);
    }

    /** Starts the thread. */
    public void start() {
        thread.start();
    }

    /** Tells the thread to end, without waiting for a call in progress. */
    public void stop() {
        running = false;
        thread.interrupt();
    }

    /**
     * The current term of this process as leader; {@link #NONE} if it is not the leader.
     *
     * <p>A term ends with the era of the store in which it began: a restored store has older members and generations,
     * and may have made another process the leader under the same generation number.
     */
    public Term term(long nowMillis) {
        State now = state;
        return nowMillis < now.untilMillis() && now.era() == store.era() ? now.term() : NONE;
    }

    private void run() {
        Runnable step = () -> step(clock.millis());
        Consumer<Throwable> onFailure = this::logFailure;
        while (running) {
            StepGuard.run(step, onFailure);
            clock.pause(STEP_MILLIS);
        }
    }

    private void logFailure(Throwable failure) {
        log.line("lease", "step failed").with("fault", failure).write();
    }

    private void step(long now) {
        if (now >= nextJoinMillis) {
            join(now);
            nextJoinMillis = now + joinIntervalMillis(now);
        }
        if (now >= nextMembersMillis && !storeAvailability.isUnavailable()) {
            readMembers(now);
        }
    }

    private long joinIntervalMillis(long now) {
        if (!storeAvailability.hasEverAnswered()) {
            return FIRST_JOIN_INTERVAL_MILLIS;
        }
        return term(now).equals(NONE) ? JOIN_INTERVAL_MILLIS : LEADER_JOIN_INTERVAL_MILLIS;
    }

    private void join(long now) {
        Either<PlatformFault, MetadataStore.Membership> joined =
                store.join(GROUP, member, GROUP, TTL_MILLIS, generation);
        meters.countStoreCall("join", joined.fold(fault -> fault.kind().name(), any -> "ok"));
        if (joined.isLeft()) {
            storeAvailability.recordFailure();
            log.line("lease", "not joined").with("fault", joined.getLeft()).write();
            return;
        }
        storeAvailability.recordAnswer(now, clock.millis());
        State old = state;
        long era = joined.get().era();
        boolean restored = old.era() != NO_ERA && era != old.era();
        // The former leader may still consider itself the leader until it has noticed the restore.
        boolean leading = joined.get().holdsFirstPartition() && !restored;
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
        Either<PlatformFault, Set<String>> members = store.members(GROUP);
        meters.countStoreCall("members", members.fold(fault -> fault.kind().name(), any -> "ok"));
        List<HostPort> peers = new ArrayList<>();
        members.getOrElse(Set.of()).forEach(memberName -> address(memberName).ifPresent(peers::add));
        boolean settled = peers.size() > 1 && peers.size() == peerCount;
        nextMembersMillis = now + (settled ? MEMBERS_INTERVAL_MILLIS : CHANGING_MEMBERS_INTERVAL_MILLIS);
        if (members.isLeft()) {
            return;
        }
        if (peers.size() != peerCount) {
            log.line("peers", "known").with("count", peers.size()).write();
        }
        peerCount = peers.size();
        onPeers.accept(List.copyOf(peers));
    }

    private static Optional<HostPort> address(String member) {
        try {
            return Optional.of(HostPort.parse(member.substring(member.indexOf(MEMBER_SEPARATOR) + 1)));
        } catch (IllegalArgumentException e) {
            return Optional.empty(); // a member of another version, which receives no updates
        }
    }
}
