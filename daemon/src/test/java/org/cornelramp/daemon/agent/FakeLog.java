package org.cornelramp.daemon.agent;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.cornelramp.ports.LogClient;
import org.cornelramp.ports.LogPage;
import org.cornelramp.ports.LogRecord;
import org.cornelramp.ports.LogStream;
import org.cornelramp.ports.PlatformException;

/** An in-memory log with simulated outages and lost answers. Safe for use by any thread. */
final class FakeLog implements LogClient {
    /** How the next append fails: refused, or its answer lost before or after it took effect. */
    enum Fault {
        REFUSED,
        LOST_BEFORE,
        LOST_AFTER
    }

    private final Map<LogStream, List<LogRecord>> streams = new EnumMap<>(LogStream.class);
    private final Deque<Fault> faults = new ArrayDeque<>();
    private boolean down;

    synchronized void failNext(Fault fault) {
        faults.add(fault);
    }

    synchronized void setDown(boolean value) {
        down = value;
    }

    synchronized List<LogRecord> records(LogStream stream) {
        return new ArrayList<>(stream(stream));
    }

    private List<LogRecord> stream(LogStream stream) {
        return streams.computeIfAbsent(stream, s -> new ArrayList<>());
    }

    @Override
    public synchronized CompletableFuture<Long> append(LogStream stream, List<JsonNode> records) {
        Fault fault = faults.poll();
        if (down || fault == Fault.REFUSED) {
            return failed(PlatformException.Kind.REFUSED);
        }
        if (fault == Fault.LOST_BEFORE) {
            return failed(PlatformException.Kind.ANSWER_LOST);
        }
        List<LogRecord> kept = stream(stream);
        long first = kept.size();
        records.forEach(value -> kept.add(new LogRecord(kept.size(), 0, value)));
        return fault == Fault.LOST_AFTER
                ? failed(PlatformException.Kind.ANSWER_LOST)
                : CompletableFuture.completedFuture(first);
    }

    @Override
    public synchronized CompletableFuture<LogPage> read(LogStream stream, long from, int max, long waitMillis) {
        if (down) {
            return failed(PlatformException.Kind.NOT_SENT);
        }
        List<LogRecord> kept = stream(stream);
        int end = (int) Math.min(kept.size(), from + max);
        List<LogRecord> page = from >= end ? List.of() : List.copyOf(kept.subList((int) from, end));
        return CompletableFuture.completedFuture(new LogPage(0, kept.size(), page));
    }

    @Override
    public synchronized CompletableFuture<LogPage> bounds(LogStream stream) {
        return down
                ? failed(PlatformException.Kind.NOT_SENT)
                : CompletableFuture.completedFuture(
                        new LogPage(0, stream(stream).size(), List.of()));
    }

    private static <T> CompletableFuture<T> failed(PlatformException.Kind kind) {
        return CompletableFuture.failedFuture(new PlatformException(kind, "failure injected by the test", 0));
    }
}
