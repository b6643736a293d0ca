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

/** Reads the table's stream back. Waits for the log, so only threads that may wait call it. Safe for any of these. */
final class LogBack {
    private static final int PAGE = 200;
    private static final Duration ANSWER = Duration.ofSeconds(4);

    private final LogClient log;

    LogBack(LogClient log) {
        this.log = log;
    }

    /** What the log keeps; empty if it cannot be told. */
    Optional<LogBounds> bounds() throws InterruptedException {
        try {
            LogPage page = log.bounds(LogStream.TABLE).get(ANSWER.toMillis(), TimeUnit.MILLISECONDS);
            return Optional.of(new LogBounds(page.oldest(), page.next()));
        } catch (ExecutionException | TimeoutException e) {
            return Optional.empty();
        }
    }

    /** The records from one offset up to another; empty if they cannot all be read. */
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
            return Optional.of(log.read(LogStream.TABLE, from, PAGE, 0).get(ANSWER.toMillis(), TimeUnit.MILLISECONDS));
        } catch (ExecutionException | TimeoutException e) {
            return Optional.empty();
        }
    }
}
