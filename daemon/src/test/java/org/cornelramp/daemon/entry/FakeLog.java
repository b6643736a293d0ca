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

/** A log in memory, with switches for an outage and for answers lost after the append took effect. */
final class FakeLog implements LogClient {
    volatile boolean out;
    volatile boolean losesAnswers;
    private final Map<LogStream, List<LogRecord>> streams = new EnumMap<>(LogStream.class);

    @Override
    public synchronized CompletableFuture<Long> append(LogStream stream, List<JsonNode> records) {
        if (out) {
            return CompletableFuture.failedFuture(
                    new PlatformException(PlatformException.Kind.REFUSED, "The log is out", 0));
        }
        List<LogRecord> all = all(stream);
        long first = all.size();
        records.forEach(record -> all.add(new LogRecord(all.size(), System.currentTimeMillis(), record)));
        return losesAnswers
                ? CompletableFuture.failedFuture(
                        new PlatformException(PlatformException.Kind.ANSWER_LOST, "The answer was lost", 0))
                : CompletableFuture.completedFuture(first);
    }

    @Override
    public synchronized CompletableFuture<LogPage> read(LogStream stream, long from, int max, long waitMillis) {
        if (out) {
            return CompletableFuture.failedFuture(
                    new PlatformException(PlatformException.Kind.NOT_SENT, "The log is out", 0));
        }
        List<LogRecord> all = all(stream);
        int start = (int) Math.min(from, all.size());
        int end = Math.min(all.size(), start + max);
        return CompletableFuture.completedFuture(new LogPage(0, all.size(), new ArrayList<>(all.subList(start, end))));
    }

    @Override
    public CompletableFuture<LogPage> bounds(LogStream stream) {
        return read(stream, Long.MAX_VALUE, 0, 0);
    }

    synchronized int size(LogStream stream) {
        return all(stream).size();
    }

    private List<LogRecord> all(LogStream stream) {
        return streams.computeIfAbsent(stream, key -> new ArrayList<>());
    }
}
