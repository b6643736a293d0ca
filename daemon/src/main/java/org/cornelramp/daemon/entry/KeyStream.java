package org.cornelramp.daemon.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.cornelramp.core.key.KeyIndex;
import org.cornelramp.core.key.KeyRecordCodec;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.platform.LogClient;
import org.cornelramp.platform.LogPage;
import org.cornelramp.platform.LogRecord;
import org.cornelramp.platform.LogStream;
import org.cornelramp.platform.PlatformException;

/**
 * Follows the key stream of the log and folds it into the index.
 *
 * <p>Confined to the router's thread, to which the log's answers are handed over. Invariant: records are applied in
 * order, each once, whatever order the answers come in.
 */
final class KeyStream implements SettledLookup {
    private static final System.Logger LOG = System.getLogger(KeyStream.class.getName());
    private static final int PAGE = 1_000;
    private static final long WAIT_MILLIS = 1_000;
    private static final Duration PAUSE = Duration.ofMillis(200);

    private final LogClient log;
    private final KeyIndex index;
    private final Router router;
    private final List<Consumer<Instant>> onProgress = new ArrayList<>();
    private CompletableFuture<LogPage> pending = CompletableFuture.completedFuture(null);
    private Instant nextAt = Instant.MIN;
    private boolean failing;

    KeyStream(LogClient log, KeyIndex index, Router router) {
        this.log = log;
        this.index = index;
        this.router = router;
    }

    KeyIndex index() {
        return index;
    }

    /** Whether the last read failed. */
    boolean isFailing() {
        return failing;
    }

    /** Adds something to do after records were applied; called before the start. */
    void onProgress(Consumer<Instant> action) {
        onProgress.add(action);
    }

    /** Reads on; one read waits at the log for the next record. */
    void tick(Instant now) {
        if (!pending.isDone() || now.isBefore(nextAt)) {
            return;
        }
        nextAt = now.plus(PAUSE);
        index.expire(now);
        pending = log.read(LogStream.KEYS, index.next(), PAGE, failing ? 0 : WAIT_MILLIS);
        router.whenDone(pending, this::took);
    }

    /**
     * Reads to the present end of the stream.
     *
     * @param then told whether the end was reached
     */
    void readToEnd(Consumer<Boolean> then) {
        router.whenDone(log.read(LogStream.KEYS, index.next(), PAGE, 0), (page, failure, now) -> {
            took(page, failure, now);
            if (failure != null || index.next() >= page.next()) {
                then.accept(failure == null);
            } else {
                readToEnd(then);
            }
        });
    }

    @Override
    public boolean isSettled(Incarnation agent) {
        return index.isSettled(agent);
    }

    @Override
    public void lookUp(Incarnation agent, String key, long call) {
        if (index.isSettled(agent)) {
            router.later(now -> router.lookedUp(call, index.settled(agent, key), now));
        } else {
            readToEnd(read -> router.later(now -> router.lookedUp(call, index.settled(agent, key), now)));
        }
    }

    private void took(LogPage page, Throwable failure, Instant now) {
        if (failure != null) {
            failed(failure);
            return;
        }
        failing = false;
        if (page.oldest() > index.next()) {
            index.skipTo(page.oldest());
        }
        for (LogRecord record : page.records()) {
            if (record.offset() == index.next()) {
                index.apply(record.offset(), Instant.ofEpochMilli(record.at()), KeyRecordCodec.read(record.value()));
            }
        }
        if (!page.records().isEmpty()) {
            nextAt = now;
            onProgress.forEach(action -> action.accept(now));
        }
    }

    private void failed(Throwable failure) {
        if (failure instanceof PlatformException e && e.kind() == PlatformException.Kind.GONE) {
            skipToOldest();
            return;
        }
        if (!failing) {
            LOG.log(System.Logger.Level.WARNING, "entry: the key stream cannot be read; why=" + failure.getMessage());
        }
        failing = true;
    }

    /**
     * The records that this entry missed are older than the log keeps. Skipping them is safe as long as the log keeps
     * records for longer than keys are used: no key that is still accepted was bound by one of them.
     */
    private void skipToOldest() {
        router.whenDone(log.bounds(LogStream.KEYS), (page, failure, now) -> {
            if (failure == null) {
                LOG.log(
                        System.Logger.Level.WARNING,
                        "entry: records of the key stream are no longer kept; from=" + index.next() + " to="
                                + page.oldest());
                index.skipTo(page.oldest());
            }
        });
    }
}
