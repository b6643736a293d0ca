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
 * Follows one stream of the log and folds its records.
 *
 * <p>Confined to the router's thread, to which the log's answers are handed over. Invariant: records are folded in
 * order, each once, whatever order the answers come in.
 */
final class LogFollower {
    private static final System.Logger LOG = System.getLogger(LogFollower.class.getName());
    private static final int PAGE = 1_000;
    private static final long WAIT_MILLIS = 1_000;
    private static final Duration PAUSE = Duration.ofMillis(200);

    private final LogClient log;
    private final LogStream stream;
    private final Fold fold;
    private final Router router;
    private final List<Consumer<Instant>> onProgress = new ArrayList<>();
    private CompletableFuture<LogPage> pending = CompletableFuture.completedFuture(null);
    private Instant nextAt = Instant.MIN;
    private boolean failing;

    /** What the records are folded into. */
    interface Fold {

        /** Offset of the next record to fold. */
        long next();

        /** Goes on from an offset, since the records before it are no longer kept. */
        void skipTo(long offset);

        /** Folds the record at {@link #next}. */
        void apply(LogRecord record, Instant now);
    }

    LogFollower(LogClient log, LogStream stream, Fold fold, Router router) {
        this.log = log;
        this.stream = stream;
        this.fold = fold;
        this.router = router;
    }

    /** Adds something to do after records were folded; called before the start. */
    void onProgress(Consumer<Instant> action) {
        onProgress.add(action);
    }

    /** Reads on; one read waits at the log for the next record. */
    void tick(Instant now) {
        if (!pending.isDone() || now.isBefore(nextAt)) {
            return;
        }
        nextAt = now.plus(PAUSE);
        pending = log.read(stream, fold.next(), PAGE, failing ? 0 : WAIT_MILLIS);
        router.whenDone(pending, this::took);
    }

    /**
     * Reads to the present end of the stream.
     *
     * @param then told whether the end was reached
     */
    void readToEnd(Consumer<Boolean> then) {
        router.whenDone(log.read(stream, fold.next(), PAGE, 0), (page, failure, now) -> {
            took(page, failure, now);
            if (failure != null || fold.next() >= page.next()) {
                then.accept(failure == null);
            } else {
                readToEnd(then);
            }
        });
    }

    private void took(LogPage page, Throwable failure, Instant now) {
        if (failure != null) {
            failed(failure);
            return;
        }
        failing = false;
        if (page.oldest() > fold.next()) {
            fold.skipTo(page.oldest());
        }
        for (LogRecord record : page.records()) {
            if (record.offset() == fold.next()) {
                fold.apply(record, now);
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
            LOG.log(
                    System.Logger.Level.WARNING,
                    "entry: a stream of the log cannot be read; stream=" + stream.text() + " why="
                            + failure.getMessage());
        }
        failing = true;
    }

    /**
     * The records that this entry missed are older than the log keeps. Skipping them is safe as long as the log keeps
     * records for longer than keys are used: no key that is still accepted was bound by one of them.
     */
    private void skipToOldest() {
        router.whenDone(log.bounds(stream), (page, failure, now) -> {
            if (failure == null) {
                LOG.log(
                        System.Logger.Level.WARNING,
                        "entry: records of the log are no longer kept; stream=" + stream.text() + " from=" + fold.next()
                                + " to=" + page.oldest());
                fold.skipTo(page.oldest());
            }
        });
    }
}
