package org.cornelramp.standins.log;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** One stream of the log stand-in. Safe for use by any thread. Invariant: offsets are consecutive and never reused. */
final class LogStream {
    private final Deque<Entry> entries = new ArrayDeque<>();
    private final List<Waiter> waiters = new ArrayList<>();
    private long nextOffset;

    long append(JsonNode values, long now) {
        long first;
        List<Waiter> satisfied;
        synchronized (this) {
            first = nextOffset;
            for (JsonNode value : values) {
                entries.addLast(new Entry(nextOffset++, now, value));
            }
            satisfied =
                    waiters.stream().filter(waiter -> waiter.from < nextOffset).toList();
            waiters.removeAll(satisfied);
        }
        satisfied.forEach(waiter -> waiter.ready.complete(null));
        return first;
    }

    synchronized Page read(long from, int max) {
        List<Entry> records = entries.stream()
                .dropWhile(entry -> entry.offset < from)
                .limit(max)
                .toList();
        return new Page(oldestOffset(), nextOffset, records);
    }

    synchronized Bounds bounds() {
        return new Bounds(oldestOffset(), nextOffset);
    }

    /** A future that completes when a record at this offset or later exists; the caller may complete it earlier. */
    synchronized CompletableFuture<Void> whenAvailable(long from) {
        CompletableFuture<Void> ready = new CompletableFuture<>();
        if (from < nextOffset) {
            ready.complete(null);
            return ready;
        }
        waiters.removeIf(waiter -> waiter.ready.isDone());
        waiters.add(new Waiter(from, ready));
        return ready;
    }

    synchronized void dropBelowOffset(long offset) {
        while (!entries.isEmpty() && entries.peekFirst().offset < offset) {
            entries.removeFirst();
        }
    }

    synchronized void dropOlderThan(long millis) {
        while (!entries.isEmpty() && entries.peekFirst().at < millis) {
            entries.removeFirst();
        }
    }

    private long oldestOffset() {
        return nextOffset - entries.size();
    }

    record Entry(long offset, long at, JsonNode value) {}

    record Page(long oldest, long next, List<Entry> records) {}

    record Bounds(long oldest, long next) {}

    private record Waiter(long from, CompletableFuture<Void> ready) {}
}
