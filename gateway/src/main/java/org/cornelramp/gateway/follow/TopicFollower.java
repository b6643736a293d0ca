package org.cornelramp.gateway.follow;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.ThreadFactory;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.cornelramp.core.settings.HostPort;
import org.cornelramp.daemon.kernel.StepGuard;
import org.cornelramp.gateway.SteadyClock;
import org.cornelramp.gateway.log.EventLog;
import org.cornelramp.gateway.metrics.Meters;
import org.cornelramp.platform.MetadataStore;
import org.cornelramp.platform.PlatformFault;
import org.cornelramp.platform.RecordStore;

/**
 * A thread that continuously reads one topic of the platform's store: from the gateway that reads for all, or else from
 * the store, and less often while the store does not answer. {@link #start} and {@link #stop} are called by one thread.
 */
public abstract class TopicFollower {
    /** First pause after a fault, in milliseconds; doubled up to the longest. */
    private static final long FIRST_PAUSE_MILLIS = 150;

    /** Longest pause after a fault: the store's records must be known here within two seconds of its return. */
    private static final long MAX_PAUSE_MILLIS = 700;

    /**
     * Least time between two reads while the store is unavailable, in milliseconds. It may refuse renewals of the lease
     * but serve reads, and a change must be in force within two more seconds.
     */
    private static final long UNAVAILABLE_PAUSE_MILLIS = 2_000;

    /** Interval of the checks whether the reading gateway has newer records, and whether the store has returned. */
    private static final long CHECK_INTERVAL_MILLIS = 30;

    private final MetadataStore.Topic topic;
    private final Dependencies parts;
    private final Thread thread;
    private volatile boolean running = true;
    private final AnswerTimeout answerTimeout;
    private long faultPauseMillis = FIRST_PAUSE_MILLIS;
    private long lastAttemptMillis;
    private long nextOffset = -1;

    /** Era of the store for which the next offset is valid. */
    private long era;

    /** Where the topic was read last; empty until the first read. */
    private Optional<ReadCoordinator.Provider> provider = Optional.empty();

    /** Who provided the records that are being applied. */
    private ReadCoordinator.Provider applying = ReadCoordinator.Provider.STORE;

    /** Time up to which all records are known to be applied here, according to the provider. */
    private volatile long completeMillis;

    /**
     * Collaborators that all followers share. Immutable.
     *
     * @param store the platform's store
     * @param storeAvailability whether the store answers this process
     * @param readCoordinator decides from where a topic is read
     * @param isLeader whether this process is the leader, and so reads for all
     * @param cache keeps the records for peers
     * @param peers reads records from peers
     * @param threads creates the thread of each follower
     * @param timing how the time until a change is in force is divided
     */
    public record Dependencies(
            RecordStore store,
            StoreAvailability storeAvailability,
            ReadCoordinator readCoordinator,
            BooleanSupplier isLeader,
            RecordCache cache,
            PeerRecords peers,
            ThreadFactory threads,
            ReadTiming timing,
            SteadyClock clock,
            EventLog log,
            Meters meters) {}

    TopicFollower(String name, MetadataStore.Topic topic, Dependencies parts) {
        this.topic = topic;
        this.parts = parts;
        this.answerTimeout =
                new AnswerTimeout(parts.timing().answerMillis(), parts.timing().maxAnswerMillis());
        this.thread = parts.threads().newThread(this::run);
        thread.setName(name);
        this.completeMillis = parts.clock().millis();
        thread.setDaemon(true);
        parts.meters().gauge(name + ".knowledge.age.millis", this::knowledgeAgeMillis);
    }

    /** Time since all records were last known to be applied here, in milliseconds; from any thread. */
    final long knowledgeAgeMillis() {
        return parts.clock().millis() - completeMillis;
    }

    /** Starts the thread. */
    public final void start() {
        thread.start();
    }

    /** Tells the thread to end, without waiting for a call in progress. */
    public final void stop() {
        running = false;
        thread.interrupt();
    }

    /**
     * Applies records.
     *
     * @param complete whether the records contain every existing key
     * @return whether the records were applied; if not, they are read again
     */
    abstract boolean apply(MetadataStore.Page page, boolean complete);

    /** Called with each read: whether the store answers this process or the gateway that reads for it. */
    abstract void onStoreStatus(boolean answers);

    /** Called before each step. */
    abstract void beforeStep(long nowMillis);

    /** Reads records from peers. */
    final PeerRecords peers() {
        return parts.peers();
    }

    /** Who provided the records that are being applied. */
    final ReadCoordinator.Provider applying() {
        return applying;
    }

    final Meters meters() {
        return parts.meters();
    }

    final long nowMillis() {
        return parts.clock().millis();
    }

    /** Least pause between two steps that read, in milliseconds. */
    abstract long pauseMillis();

    /** Starts a log line under the name of the follower. */
    final EventLog.Line line(String event) {
        return parts.log().line(thread.getName(), event);
    }

    /** Counts and logs an unusable record; the log line is sampled, as the writer may repeat the record endlessly. */
    final void recordUnreadable(long offset, String fault) {
        parts.meters().countUnreadableRecord(thread.getName());
        parts.log()
                .routine(thread.getName(), "unreadable")
                .with("offset", offset)
                .with("fault", fault)
                .write();
    }

    /**
     * Reads once, if there is something to read.
     *
     * @return pause until the next step in milliseconds; negative after a fault
     */
    private long step() {
        long now = parts.clock().millis();
        beforeStep(now);
        ReadCoordinator.Source source = parts.readCoordinator()
                .source(topic, era, nextOffset, parts.isLeader().getAsBoolean(), now);
        return switch (source) {
            case STORE ->
                parts.storeAvailability().isUnavailable() && now - lastAttemptMillis < UNAVAILABLE_PAUSE_MILLIS
                        ? fallBackToPeers()
                        : readStore();
            case READER -> readPeer();
            case UP_TO_DATE -> {
                recordComplete(
                        ReadCoordinator.Provider.READER, parts.readCoordinator().positionKnownMillis());
                onStoreStatus(true);
                yield CHECK_INTERVAL_MILLIS;
            }
        };
    }

    private long readStore() {
        lastAttemptMillis = parts.clock().millis();
        boolean complete = nextOffset < 0;
        long answerMillis = answerTimeout.millis();
        long waitMillis = parts.timing().readMillis() - answerMillis;
        Either<PlatformFault, MetadataStore.Page> read = complete
                ? parts.store().newest(topic)
                : parts.store().read(topic, nextOffset, waitMillis, answerMillis);
        if (read.isLeft()) {
            return handleFault(read.getLeft());
        }
        parts.meters().countStoreCall(thread.getName(), "ok");
        return handlePage(read.get(), complete, waitMillis);
    }

    private long handlePage(MetadataStore.Page page, boolean complete, long waitMillis) {
        if (!complete && page.records().isEmpty()) {
            answerTimeout.recordAnswer(parts.clock().millis() - lastAttemptMillis - waitMillis);
        }
        long knownMillis = knownMillis(page, complete ? 0 : waitMillis);
        parts.storeAvailability().recordAnswer(lastAttemptMillis, parts.clock().millis());
        if (!complete && page.era() != era) {
            return restartAfterRestore(page.era());
        }
        long now = parts.clock().millis();
        parts.cache().update(topic, page, complete, now);
        parts.readCoordinator().recordRead(topic, page.era(), page.next(), now);
        onStoreStatus(true);
        applyAndAdvance(page, complete, ReadCoordinator.Provider.STORE);
        recordComplete(ReadCoordinator.Provider.STORE, knownMillis);
        return pauseMillis();
    }

    /** Latest time for which the last read shows all records: if the store had none, it waited for one. */
    private long knownMillis(MetadataStore.Page page, long waitMillis) {
        boolean waited = page.records().isEmpty() && parts.clock().millis() - lastAttemptMillis >= waitMillis;
        return lastAttemptMillis + (waited ? waitMillis : 0);
    }

    /** Records how recent the applied records are, and logs a change of the provider. */
    private void recordComplete(ReadCoordinator.Provider from, long millis) {
        if (!provider.equals(Optional.of(from))) {
            line("provider")
                    .with("now", from.label())
                    .with(
                            "reader",
                            parts.readCoordinator()
                                    .readerAddress()
                                    .map(HostPort::toString)
                                    .orElse(""))
                    .with("offset", nextOffset)
                    .with("era", era)
                    .with("knowledgeAgeMillis", knowledgeAgeMillis())
                    .write();
            provider = Optional.of(from);
        }
        completeMillis = millis;
    }

    /**
     * Starts over after the store was restored: records at offsets that were read before have been replaced by others.
     */
    private long restartAfterRestore(long newEra) {
        line("store restored").with("era", newEra).with("offset", nextOffset).write();
        nextOffset = -1;
        return 0;
    }

    private void applyAndAdvance(MetadataStore.Page page, boolean complete, ReadCoordinator.Provider from) {
        applying = from;
        if (apply(page, complete)) {
            nextOffset = page.next();
            era = page.era();
        }
    }

    private long readPeer() {
        Optional<RecordCache.RecordSet> recordSet = parts.readCoordinator()
                .readerAddress()
                .flatMap(reader -> parts.peers().fetch(reader, topic, era, nextOffset));
        if (recordSet.isEmpty() || !continuesFromHere(recordSet.get())) {
            return readStore(); // its updates arrive, but it does not answer, or does not know of the restore yet
        }
        parts.meters().countStoreCall(thread.getName(), "peer");
        MetadataStore.Page page = recordSet.get().page();
        parts.cache()
                .update(topic, page, recordSet.get().complete(), parts.clock().millis());
        onStoreStatus(true);
        applyAndAdvance(page, recordSet.get().complete(), ReadCoordinator.Provider.READER);
        recordComplete(ReadCoordinator.Provider.READER, parts.readCoordinator().positionKnownMillis());
        return pauseMillis();
    }

    /**
     * Whether a peer's records continue those known here: a later era can be entered only with a complete set of
     * records.
     */
    private boolean continuesFromHere(RecordCache.RecordSet recordSet) {
        long recordSetEra = recordSet.page().era();
        return recordSetEra == era || (recordSetEra > era && recordSet.complete());
    }

    private long handleFault(PlatformFault fault) {
        if (fault.kind() == PlatformFault.Kind.GONE) {
            nextOffset = -1;
            return 0;
        }
        parts.meters().countStoreCall(thread.getName(), fault.kind().name());
        if (fault.kind() == PlatformFault.Kind.NO_ANSWER) {
            answerTimeout.recordTimeout();
        }
        parts.storeAvailability().recordFailure();
        line("not read")
                .with("fault", fault)
                .with("tookMillis", parts.clock().millis() - lastAttemptMillis)
                .with("knowledgeAgeMillis", knowledgeAgeMillis())
                .write();
        if (parts.storeAvailability().hasRecoveredSince(lastAttemptMillis)) {
            return 0; // the store has answered another thread since this call was made
        }
        return fallBackToPeers();
    }

    /** Falls back to the peers' records, as the store may refuse this process only. */
    private long fallBackToPeers() {
        parts.readCoordinator().recordFailure(topic);
        onStoreStatus(false);
        applying = ReadCoordinator.Provider.PEER;
        parts.peers().fetchFromAnyPeer(topic).ifPresent(recordSet -> apply(recordSet.page(), recordSet.complete()));
        return -1;
    }

    private void run() {
        Runnable step = this::stepAndPause;
        Consumer<Throwable> onFailure = this::logFailure;
        while (running) {
            if (!StepGuard.run(step, onFailure)) {
                pauseAfterFault();
            }
        }
    }

    private void stepAndPause() {
        long pause = step();
        if (pause < 0) {
            pauseAfterFault();
        } else {
            faultPauseMillis = FIRST_PAUSE_MILLIS;
            pause(pause);
        }
    }

    private void logFailure(Throwable failure) {
        line("follower failed").with("fault", failure).write();
    }

    /** Waits longer after each fault, but at most until the store has answered another thread. */
    private void pauseAfterFault() {
        for (long left = faultPauseMillis;
                left > 0 && !parts.storeAvailability().hasRecoveredSince(lastAttemptMillis);
                left -= CHECK_INTERVAL_MILLIS) {
            pause(CHECK_INTERVAL_MILLIS);
        }
        faultPauseMillis = Math.min(MAX_PAUSE_MILLIS, faultPauseMillis * 2);
    }

    private void pause(long millis) {
        parts.clock().pause(millis);
    }
}
