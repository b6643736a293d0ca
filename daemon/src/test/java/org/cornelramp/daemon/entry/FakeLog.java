package org.cornelramp.daemon.entry;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.cornelramp.ports.LogClient;
import org.cornelramp.ports.LogPage;
import org.cornelramp.ports.LogRecord;
import org.cornelramp.ports.LogStream;
import org.cornelramp.ports.PlatformException;

/** An in-memory log. Tests can make it unavailable, or make it lose the answers of appends that took effect. */
final class FakeLog implements LogClient {
    volatile boolean unavailable;
    volatile boolean loseAnswers;
    private final Map<LogStream, List<LogRecord>> streams = new EnumMap<>(LogStream.class);

    @Override
    public synchronized CompletableFuture<Long> append(LogStream stream, List<JsonNode> records) {
        if (unavailable) {
            return CompletableFuture.failedFuture(
                    new PlatformException(PlatformException.Kind.REFUSED, "The log is unavailable", 0));
        }
        List<LogRecord> stored = records(stream);
        long first = stored.size();
        records.forEach(record -> stored.add(new LogRecord(stored.size(), System.currentTimeMillis(), record)));
        return loseAnswers
                ? CompletableFuture.failedFuture(
                        new PlatformException(PlatformException.Kind.ANSWER_LOST, "The answer was lost", 0))
                : CompletableFuture.completedFuture(first);
    }

    @Override
    public synchronized CompletableFuture<LogPage> read(LogStream stream, long from, int max, long waitMillis) {
        if (unavailable) {
            return CompletableFuture.failedFuture(
                    new PlatformException(PlatformException.Kind.NOT_SENT, "The log is unavailable", 0));
        }
        List<LogRecord> stored = records(stream);
        int start = (int) Math.min(from, stored.size());
        int end = Math.min(stored.size(), start + max);
        return CompletableFuture.completedFuture(
                new LogPage(0, stored.size(), new ArrayList<>(stored.subList(start, end))));
    }

    @Override
    public CompletableFuture<LogPage> bounds(LogStream stream) {
        return read(stream, Long.MAX_VALUE, 0, 0);
    }

    synchronized int size(LogStream stream) {
        return records(stream).size();
    }

    private List<LogRecord> records(LogStream stream) {
        return streams.computeIfAbsent(stream, key -> new ArrayList<>());
    }
}
