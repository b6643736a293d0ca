package org.cornelramp.gateway.follow;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.cornelramp.gateway.SteadyClock;
import org.cornelramp.gateway.log.EventLog;
import org.cornelramp.gateway.metrics.Meters;
import org.cornelramp.platform.MetadataStore;
import org.cornelramp.platform.StoreFault;

/**
 * A thread that follows one topic of the platform's store: through the gateway that reads for all, else by itself, and
 * more rarely while the store does not answer. {@link #start} and {@link #stop} are called by one thread.
 */
public abstract class Follower {
    /** First pause after a fault, in milliseconds; doubled up to the longest. */
    private static final long FIRST_PAUSE = 150;

    /** Longest pause after a fault: what the store knows must be here within two seconds of its return. */
    private static final long LONGEST_PAUSE = 700;

    /**
     * Pause between two tries while the store is away, in milliseconds: it may refuse renewals and serve readings, and a
     * change must be in force within two seconds more.
     */
    private static final long AWAY_PAUSE = 2_000;

    /**
     * How long the store holds a call back until something changes. A connection may go silent for good; it is
     * noticed after this time and the call's own timeout, within the two seconds in which a change must be in force.
     */
    static final long LONG_POLL_MILLIS = 1_000;

    /** Pause before it is looked again whether the reading gateway has something new. */
    private static final long LOOK_MILLIS = 30;

    private final MetadataStore.Topic topic;
    private final Parts parts;
    private final Thread thread;
    private volatile boolean running = true;
    private long faultPause = FIRST_PAUSE;
    private long triedMillis;
    private long faultMillis = Long.MIN_VALUE;
    private long next = -1;

    /** Era of the store in which the next offset holds. */
    private long era;

    /**
     * What every follower works with. Immutable.
     *
     * @param store the platform's store
     * @param access whether it answers this process
     * @param share who reads it for whom
     * @param leads whether this process leads, and so reads for all
     * @param cache keeps the records for peers
     * @param peers reads records from peers
     */
    public record Parts(
            MetadataStore store,
            StoreAccess access,
            ReadingShare share,
            BooleanSupplier leads,
            RecordCache cache,
            PeerRecords peers,
            SteadyClock clock,
            EventLog log,
            Meters meters) {}

    Follower(String name, MetadataStore.Topic topic, Parts parts) {
        this.topic = topic;
        this.parts = parts;
        this.thread = new Thread(this::run, name);
        thread.setDaemon(true);
    }

    /** Starts the thread. */
    public final void start() {
        thread.start();
    }

    /** Tells the thread to end; a call under way is not waited for. */
    public final void stop() {
        running = false;
        thread.interrupt();
    }

    /**
     * Takes records.
     *
     * @param whole whether no other keys exist
     * @return whether they were taken; else they are read again
     */
    abstract boolean take(MetadataStore.Page page, boolean whole);

    /** Called after each step: whether the store is known to answer, by this process or by the one that reads for it. */
    abstract void storeAnswers(boolean answers);

    /** Called before each step. */
    abstract void beforeStep(long nowMillis);

    /** Reads records from peers. */
    final PeerRecords peers() {
        return parts.peers();
    }

    /** Least pause between two steps that read, in milliseconds. */
    abstract long pauseMillis();

    /** Logs with the name of the follower. */
    final EventLog.Line line(String event) {
        return parts.log().line(thread.getName(), event);
    }

    /** Counts and logs a record that names nothing to use; sampled, as its writer may repeat it without end. */
    final void unreadable(long offset, String fault) {
        parts.meters().unreadable(thread.getName());
        parts.log()
                .ordinary(thread.getName(), "unreadable")
                .with("offset", offset)
                .with("fault", fault)
                .write();
    }

    /**
     * Makes one step.
     *
     * @return pause until the next in milliseconds; negative after a fault
     */
    private long step() {
        long now = parts.clock().millis();
        beforeStep(now);
        return switch (parts.share().source(topic, era, next, parts.leads().getAsBoolean(), now)) {
            case STORE -> parts.access().isAway() && now - triedMillis < AWAY_PAUSE ? away() : readStore();
            case READER -> readPeer();
            case NOWHERE -> {
                storeAnswers(true);
                yield LOOK_MILLIS;
            }
        };
    }

    private long readStore() {
        triedMillis = parts.clock().millis();
        boolean whole = next < 0;
        Either<StoreFault, MetadataStore.Page> read =
                whole ? parts.store().newest(topic) : parts.store().read(topic, next, LONG_POLL_MILLIS);
        if (read.isLeft()) {
            return fault(read.getLeft());
        }
        parts.meters().storeCall(thread.getName(), "ok");
        parts.access().answered(parts.clock().millis());
        MetadataStore.Page page = read.get();
        if (!whole && page.era() != era) {
            return readAnew(page.era());
        }
        long now = parts.clock().millis();
        parts.cache().take(topic, page, whole, now);
        parts.share().read(topic, page.era(), page.next(), now);
        storeAnswers(true);
        taken(page, whole);
        return pauseMillis();
    }

    /** The store was restored: records at offsets that were read before have given place to others. */
    private long readAnew(long newEra) {
        line("store restored").with("era", newEra).with("offset", next).write();
        next = -1;
        return 0;
    }

    private void taken(MetadataStore.Page page, boolean whole) {
        if (take(page, whole)) {
            next = page.next();
            era = page.era();
        }
    }

    private long readPeer() {
        Optional<RecordCache.Part> part =
                parts.share().reader().flatMap(reader -> parts.peers().ask(reader, topic, era, next));
        if (part.isEmpty() || !follows(part.get())) {
            return readStore(); // its news come through, but it does not answer, or was not told of the restore
        }
        parts.meters().storeCall(thread.getName(), "peer");
        MetadataStore.Page page = part.get().page();
        parts.cache().take(topic, page, part.get().whole(), parts.clock().millis());
        storeAnswers(true);
        taken(page, part.get().whole());
        return pauseMillis();
    }

    /** Whether records of a peer go on from what is known here: only a whole reading leads into a later era. */
    private boolean follows(RecordCache.Part part) {
        long theirs = part.page().era();
        return theirs == era || (theirs > era && part.whole());
    }

    private long fault(StoreFault fault) {
        if (fault.kind() == StoreFault.Kind.GONE) {
            next = -1;
            return 0;
        }
        parts.meters().storeCall(thread.getName(), fault.kind().name());
        parts.access().failed();
        line("not read").with("fault", fault).write();
        return away();
    }

    /** Goes by what peers know, as the store may turn away this process alone. */
    private long away() {
        faultMillis = parts.clock().millis();
        parts.share().notRead(topic);
        storeAnswers(false);
        parts.peers().read(topic).ifPresent(part -> take(part.page(), part.whole()));
        return -1;
    }

    private void run() {
        while (running) {
            long pause;
            try {
                pause = step();
            } catch (RuntimeException e) {
                line("follower failed").with("fault", e).write();
                faultMillis = parts.clock().millis();
                pause = -1;
            }
            if (pause < 0) {
                pauseAfterFault();
            } else {
                faultPause = FIRST_PAUSE;
                pause(pause);
            }
        }
    }

    /** Waits longer after each fault, and no longer than until the store has answered another thread. */
    private void pauseAfterFault() {
        for (long left = faultPause; left > 0 && !parts.access().hasReturnedSince(faultMillis); left -= LOOK_MILLIS) {
            pause(LOOK_MILLIS);
        }
        faultPause = Math.min(LONGEST_PAUSE, faultPause * 2);
    }

    private void pause(long millis) {
        LockSupport.parkNanos(this, millis * 1_000_000L);
    }
}
