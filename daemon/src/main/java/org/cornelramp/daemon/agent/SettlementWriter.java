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
 * Writes on the log what became of this life's keys, before the agent exits.
 *
 * <p>Confined to the agent's duty. Invariant: a part counts as written once the log said so or it was read back. An
 * append whose answer was lost may have taken effect or not; taking it for either without reading would leave a key
 * unlisted, and so reported as not run, or fill the log with repeats in a slow hour. A repeat itself does no harm.
 */
final class SettlementWriter {
    private static final System.Logger LOG = System.getLogger(SettlementWriter.class.getName());
    private static final int RECORD_BYTES = 256 << 10;
    private static final int READ_RECORDS = 200;
    private static final long RETRY_MILLIS = 200;
    private static final long UNKNOWN = -1;

    private final Incarnation life;
    private final LogClient log;
    private final Completions completions;
    private final TreeMap<Integer, JsonNode> unwritten = new TreeMap<>();
    private long start = UNKNOWN;
    private long readFrom = UNKNOWN;
    private boolean begun;
    private boolean busy;
    private long nextAt;

    SettlementWriter(Incarnation life, LogClient log, Completions completions) {
        this.life = life;
        this.log = log;
        this.completions = completions;
    }

    /** Begins to write; a repeat changes nothing. */
    void begin(List<Ledger.SettledKey> keys) {
        if (begun) {
            return;
        }
        begun = true;
        List<JsonNode> records = SettledRecords.write(life, keys, RECORD_BYTES);
        for (int i = 0; i < records.size(); i++) {
            unwritten.put(i, records.get(i));
        }
        LOG.log(
                System.Logger.Level.INFO,
                "agent: keys are settled on the log; keys=" + keys.size() + " parts=" + records.size());
    }

    /** Whether all parts are on the log. */
    boolean isWritten() {
        return begun && unwritten.isEmpty();
    }

    /** Takes the next step, if none is under way. */
    void tick(Moment now) {
        if (!begun || busy || unwritten.isEmpty() || now.nanos() - nextAt < 0) {
            return;
        }
        busy = true;
        if (start == UNKNOWN) {
            completions.on(log.bounds(LogStream.KEYS), (page, failure) -> bounded(page, failure, now));
        } else if (readFrom != UNKNOWN) {
            completions.on(
                    log.read(LogStream.KEYS, readFrom, READ_RECORDS, 0),
                    (page, failure) -> readBack(page, failure, now));
        } else {
            int part = unwritten.firstKey();
            completions.on(
                    log.append(LogStream.KEYS, List.of(unwritten.get(part))),
                    (offset, failure) -> appended(part, failure, now));
        }
    }

    private void bounded(LogPage page, Throwable failure, Moment now) {
        busy = false;
        if (failure == null) {
            start = page.next();
        } else {
            waitAfter(failure, now);
        }
    }

    private void appended(int part, Throwable failure, Moment now) {
        busy = false;
        if (failure == null) {
            unwritten.remove(part);
            return;
        }
        boolean refused = failure instanceof PlatformException e
                && (e.kind() == PlatformException.Kind.NOT_SENT || e.kind() == PlatformException.Kind.REFUSED);
        if (!refused) {
            readFrom = start;
        }
        waitAfter(failure, now);
    }

    private void readBack(LogPage page, Throwable failure, Moment now) {
        busy = false;
        if (failure != null) {
            if (failure instanceof PlatformException e && e.kind() == PlatformException.Kind.GONE) {
                start = UNKNOWN;
                readFrom = UNKNOWN;
            }
            waitAfter(failure, now);
            return;
        }
        for (LogRecord record : page.records()) {
            SettledRecords.partNumber(record.value(), life).ifPresent(unwritten::remove);
        }
        readFrom += page.records().size();
        if (page.records().isEmpty() || readFrom >= page.next()) {
            readFrom = UNKNOWN;
        }
    }

    private void waitAfter(Throwable failure, Moment now) {
        long wait =
                failure instanceof PlatformException e ? Math.max(e.retryAfterMillis(), RETRY_MILLIS) : RETRY_MILLIS;
        nextAt = now.plusMillis(wait);
        LOG.log(
                System.Logger.Level.DEBUG,
                "agent: the log did not take the settled keys yet; parts=" + new ArrayList<>(unwritten.keySet())
                        + " why=" + failure.getMessage());
    }
}
