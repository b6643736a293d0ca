package org.cornelramp.daemon.agent;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.cornelramp.core.ledger.Ledger;
import org.cornelramp.core.ledger.SettledRecords;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.ports.LogClient;
import org.cornelramp.ports.LogPage;
import org.cornelramp.ports.LogRecord;
import org.cornelramp.ports.LogStream;
import org.cornelramp.ports.PlatformException;

/**
 * Writes the final results of this incarnation's keys to the log before the agent exits.
 *
 * <p>Confined to the agent's event loop thread. Invariant: a part counts as written once the log has confirmed it or it
 * was read back. An append whose answer was lost may or may not have taken effect. Assuming success could leave a key
 * unlisted, and so reported as not run; assuming failure would fill the log with duplicates while it answers slowly. A
 * single duplicate does no harm.
 */
final class SettlementWriter {
    private static final System.Logger LOG = System.getLogger(SettlementWriter.class.getName());
    private static final int MAX_RECORD_BYTES = 256 << 10;
    private static final int MAX_READ_RECORDS = 200;
    private static final long RETRY_MILLIS = 200;
    private static final long UNKNOWN_OFFSET = -1;

    private final Incarnation incarnation;
    private final LogClient log;
    private final CompletionDispatcher completions;
    private final TreeMap<Integer, JsonNode> unwritten = new TreeMap<>();
    private long startOffset = UNKNOWN_OFFSET;
    private long readOffset = UNKNOWN_OFFSET;
    private boolean begun;
    private boolean requestPending;
    private long nextAttemptAt;

    SettlementWriter(Incarnation incarnation, LogClient log, CompletionDispatcher completions) {
        this.incarnation = incarnation;
        this.log = log;
        this.completions = completions;
    }

    /** Begins to write these results; later calls have no effect. */
    void begin(List<Ledger.SettledKey> keys) {
        if (begun) {
            return;
        }
        begun = true;
        List<JsonNode> records = SettledRecords.write(incarnation, keys, MAX_RECORD_BYTES);
        for (int i = 0; i < records.size(); i++) {
            unwritten.put(i, records.get(i));
        }
        LOG.log(
                System.Logger.Level.INFO,
                "agent: writing the results of keys to the log; keys=" + keys.size() + " parts=" + records.size());
    }

    /** Whether all parts are on the log. */
    boolean isWritten() {
        return begun && unwritten.isEmpty();
    }

    /** Starts the next request to the log, if none is pending. */
    void tick(Moment now) {
        if (!begun || requestPending || unwritten.isEmpty() || now.nanos() - nextAttemptAt < 0) {
            return;
        }
        requestPending = true;
        if (startOffset == UNKNOWN_OFFSET) {
            completions.whenComplete(log.bounds(LogStream.KEYS), (page, failure) -> onBounds(page, failure, now));
        } else if (readOffset != UNKNOWN_OFFSET) {
            completions.whenComplete(
                    log.read(LogStream.KEYS, readOffset, MAX_READ_RECORDS, 0),
                    (page, failure) -> onRead(page, failure, now));
        } else {
            int part = unwritten.firstKey();
            completions.whenComplete(
                    log.append(LogStream.KEYS, List.of(unwritten.get(part))),
                    (offset, failure) -> onAppended(part, failure, now));
        }
    }

    private void onBounds(LogPage page, Throwable failure, Moment now) {
        requestPending = false;
        if (failure == null) {
            startOffset = page.next();
        } else {
            scheduleRetry(failure, now);
        }
    }

    private void onAppended(int part, Throwable failure, Moment now) {
        requestPending = false;
        if (failure == null) {
            unwritten.remove(part);
            return;
        }
        boolean refused = failure instanceof PlatformException e
                && (e.kind() == PlatformException.Kind.NOT_SENT || e.kind() == PlatformException.Kind.REFUSED);
        if (!refused) {
            readOffset = startOffset;
        }
        scheduleRetry(failure, now);
    }

    private void onRead(LogPage page, Throwable failure, Moment now) {
        requestPending = false;
        if (failure != null) {
            if (failure instanceof PlatformException e && e.kind() == PlatformException.Kind.GONE) {
                startOffset = UNKNOWN_OFFSET;
                readOffset = UNKNOWN_OFFSET;
            }
            scheduleRetry(failure, now);
            return;
        }
        for (LogRecord record : page.records()) {
            SettledRecords.partNumber(record.value(), incarnation).ifPresent(unwritten::remove);
        }
        readOffset += page.records().size();
        if (page.records().isEmpty() || readOffset >= page.next()) {
            readOffset = UNKNOWN_OFFSET;
        }
    }

    private void scheduleRetry(Throwable failure, Moment now) {
        long wait =
                failure instanceof PlatformException e ? Math.max(e.retryAfterMillis(), RETRY_MILLIS) : RETRY_MILLIS;
        nextAttemptAt = now.plusMillis(wait);
        LOG.log(
                System.Logger.Level.DEBUG,
                "agent: a request to the log failed and is retried; parts=" + new ArrayList<>(unwritten.keySet())
                        + " why=" + failure.getMessage());
    }
}
