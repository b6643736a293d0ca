package org.cornelramp.daemon.table;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.cornelramp.ports.LogClient;
import org.cornelramp.ports.LogPage;
import org.cornelramp.ports.LogRecord;
import org.cornelramp.ports.LogStream;
import org.cornelramp.ports.PlatformException;

/** A log in memory that can inject the faults of the real log. Safe for use by any thread. */
public final class MemoryLog implements LogClient {

    /** The fault that is injected into the next appends. */
    public enum AppendFault {
        NONE,
        /** The append takes effect, and the answer is lost. */
        LOSE_ANSWER,
        /** The request is lost, so the append has no effect and gets no answer. */
        LOSE_REQUEST,
        /** The append is refused. */
        REFUSE
    }

    private final List<LogRecord> records = new ArrayList<>();
    private long oldest;
    private AppendFault fault = AppendFault.NONE;
    private int faultyAppends;
    private boolean readable = true;

    /** Injects a fault into the next {@code count} appends. */
    public synchronized void failAppends(AppendFault kind, int count) {
        fault = kind;
        faultyAppends = count;
    }

    /** Sets whether reads succeed; while false, they all fail. */
    public synchronized void setReadable(boolean now) {
        readable = now;
        notifyAll();
    }

    /** Deletes all records below an offset, as retention does. */
    public synchronized void forgetBelow(long offset) {
        oldest = Math.max(oldest, offset);
    }

    /** Returns the number of records ever appended. */
    public synchronized long size() {
        return records.size();
    }

    @Override
    public synchronized CompletableFuture<Long> append(LogStream stream, List<JsonNode> values) {
        AppendFault now = faultyAppends > 0 ? fault : AppendFault.NONE;
        faultyAppends = Math.max(0, faultyAppends - 1);
        if (now == AppendFault.REFUSE) {
            return failed(PlatformException.Kind.REFUSED);
        }
        if (now == AppendFault.LOSE_REQUEST) {
            return failed(PlatformException.Kind.ANSWER_LOST);
        }
        long first = records.size();
        values.forEach(value -> records.add(new LogRecord(records.size(), System.currentTimeMillis(), value)));
        notifyAll();
        return now == AppendFault.LOSE_ANSWER
                ? failed(PlatformException.Kind.ANSWER_LOST)
                : CompletableFuture.completedFuture(first);
    }

    @Override
    public CompletableFuture<LogPage> read(LogStream stream, long from, int max, long waitMillis) {
        return waitMillis == 0
                ? page(from, max)
                : CompletableFuture.supplyAsync(() -> await(from, waitMillis)).thenCompose(now -> page(from, max));
    }

    @Override
    public synchronized CompletableFuture<LogPage> bounds(LogStream stream) {
        return readable
                ? CompletableFuture.completedFuture(new LogPage(oldest, records.size(), List.of()))
                : failed(PlatformException.Kind.REFUSED);
    }

    private synchronized CompletableFuture<LogPage> page(long from, int max) {
        if (!readable) {
            return failed(PlatformException.Kind.REFUSED);
        }
        if (from < oldest) {
            return failed(PlatformException.Kind.GONE);
        }
        int end = (int) Math.min(records.size(), from + max);
        List<LogRecord> page = from >= end ? List.of() : List.copyOf(records.subList((int) from, end));
        return CompletableFuture.completedFuture(new LogPage(oldest, records.size(), page));
    }

    private synchronized long await(long from, long waitMillis) {
        long end = System.currentTimeMillis() + waitMillis;
        while (readable && records.size() <= from && System.currentTimeMillis() < end) {
            try {
                wait(Math.max(1, end - System.currentTimeMillis()));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return records.size();
            }
        }
        return records.size();
    }

    private static <T> CompletableFuture<T> failed(PlatformException.Kind kind) {
        return CompletableFuture.failedFuture(new PlatformException(kind, "fault of the test", 0));
    }
}
