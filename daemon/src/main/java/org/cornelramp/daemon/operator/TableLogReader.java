package org.cornelramp.daemon.operator;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.cornelramp.core.table.LogBounds;
import org.cornelramp.core.table.LoggedRecord;
import org.cornelramp.ports.LogClient;
import org.cornelramp.ports.LogPage;
import org.cornelramp.ports.LogStream;

/**
 * Reads records of the table's stream from the log. Blocks while it waits for the log, so call it only on threads that
 * may block. Safe for use by any thread.
 */
final class TableLogReader {
    private static final int PAGE_RECORDS = 200;
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(4);

    private final LogClient log;

    TableLogReader(LogClient log) {
        this.log = log;
    }

    /** Returns the range of offsets that the log holds; empty if the log does not answer. */
    Optional<LogBounds> bounds() throws InterruptedException {
        try {
            LogPage page = log.bounds(LogStream.TABLE).get(ANSWER_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
            return Optional.of(new LogBounds(page.oldest(), page.next()));
        } catch (ExecutionException | TimeoutException e) {
            return Optional.empty();
        }
    }

    /**
     * Returns the records from offset {@code from} up to but not including {@code to}; empty if they cannot all be
     * read.
     */
    Optional<List<LoggedRecord>> read(long from, long to) throws InterruptedException {
        List<LoggedRecord> records = new ArrayList<>();
        long at = from;
        while (at < to) {
            Optional<LogPage> page = page(at);
            if (page.isEmpty() || page.get().records().isEmpty()) {
                return Optional.empty();
            }
            page.get().records().forEach(record -> {
                if (record.offset() < to) {
                    records.add(new LoggedRecord(record.offset(), record.at(), record.value()));
                }
            });
            at = records.get(records.size() - 1).offset() + 1;
        }
        return Optional.of(records);
    }

    private Optional<LogPage> page(long from) throws InterruptedException {
        try {
            return Optional.of(log.read(LogStream.TABLE, from, PAGE_RECORDS, 0)
                    .get(ANSWER_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS));
        } catch (ExecutionException | TimeoutException e) {
            return Optional.empty();
        }
    }
}
