package org.cornelramp.daemon.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.cornelramp.ports.LogClient;
import org.cornelramp.ports.LogPage;
import org.cornelramp.ports.LogRecord;
import org.cornelramp.ports.LogStream;
import org.cornelramp.ports.PlatformException;

/**
 * Follows one stream of the log and passes its records to a handler.
 *
 * <p>Confined to the router's thread, on which the log's answers are processed. Invariant: records are handled in
 * order, each once, in whatever order the answers arrive.
 */
final class LogFollower {
    private static final System.Logger LOG = System.getLogger(LogFollower.class.getName());
    private static final int PAGE_SIZE = 1_000;
    private static final long LONG_POLL_MILLIS = 1_000;
    private static final Duration READ_INTERVAL = Duration.ofMillis(200);

    private final LogClient log;
    private final LogStream stream;
    private final RecordHandler handler;
    private final Router router;
    private final List<Consumer<Instant>> progressListeners = new ArrayList<>();
    private CompletableFuture<LogPage> pending = CompletableFuture.completedFuture(null);
    private Instant nextAt = Instant.MIN;
    private boolean readsFail;

    /** Applies the records of the stream. */
    interface RecordHandler {

        /** Returns the offset of the next record to apply. */
        long nextOffset();

        /** Continues from an offset because the log no longer keeps the records before it. */
        void skipTo(long offset);

        /** Applies the record at {@link #nextOffset}. */
        void apply(LogRecord record, Instant now);
    }

    LogFollower(LogClient log, LogStream stream, RecordHandler handler, Router router) {
        this.log = log;
        this.stream = stream;
        this.handler = handler;
        this.router = router;
    }

    /** Adds a listener that runs after records were applied. Called before the start. */
    void addProgressListener(Consumer<Instant> action) {
        progressListeners.add(action);
    }

    /** Starts the next read if none is pending. The read waits at the log for the next record. */
    void tick(Instant now) {
        if (!pending.isDone() || now.isBefore(nextAt)) {
            return;
        }
        nextAt = now.plus(READ_INTERVAL);
        pending = log.read(stream, handler.nextOffset(), PAGE_SIZE, readsFail ? 0 : LONG_POLL_MILLIS);
        router.whenDone(pending, this::handlePage);
    }

    /**
     * Reads to the current end of the stream.
     *
     * @param callback receives whether the end was reached
     */
    void readToEnd(Consumer<Boolean> callback) {
        router.whenDone(log.read(stream, handler.nextOffset(), PAGE_SIZE, 0), (page, failure, now) -> {
            handlePage(page, failure, now);
            if (failure != null || handler.nextOffset() >= page.next()) {
                callback.accept(failure == null);
            } else {
                readToEnd(callback);
            }
        });
    }

    private void handlePage(LogPage page, Throwable failure, Instant now) {
        if (failure != null) {
            readFailed(failure);
            return;
        }
        readsFail = false;
        if (page.oldest() > handler.nextOffset()) {
            handler.skipTo(page.oldest());
        }
        for (LogRecord record : page.records()) {
            if (record.offset() == handler.nextOffset()) {
                handler.apply(record, now);
            }
        }
        if (!page.records().isEmpty()) {
            nextAt = now;
            progressListeners.forEach(action -> action.accept(now));
        }
    }

    private void readFailed(Throwable failure) {
        if (failure instanceof PlatformException e && e.kind() == PlatformException.Kind.GONE) {
            skipToOldest();
            return;
        }
        if (!readsFail) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "entry: a stream of the log cannot be read; stream=" + stream.text() + " why="
                            + failure.getMessage());
        }
        readsFail = true;
    }

    /**
     * Skips records that the log no longer keeps. This is safe as long as the log keeps records for longer than keys
     * are accepted: then none of the skipped records bound a key that is still accepted.
     */
    private void skipToOldest() {
        router.whenDone(log.bounds(stream), (page, failure, now) -> {
            if (failure == null) {
                LOG.log(
                        System.Logger.Level.WARNING,
                        "entry: records of the log are no longer kept; stream=" + stream.text() + " from="
                                + handler.nextOffset() + " to=" + page.oldest());
                handler.skipTo(page.oldest());
            }
        });
    }
}
