package org.cornelramp.standins.log;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** One stream of the log stand-in. Safe for use by any thread. Invariant: offsets have no gaps and never go back. */
final class Stream {
    private final Deque<Entry> kept = new ArrayDeque<>();
    private final List<Waiter> waiters = new ArrayList<>();
    private long next;

    long append(JsonNode values, long now) {
        long first;
        List<Waiter> woken;
        synchronized (this) {
            first = next;
            for (JsonNode value : values) {
                kept.addLast(new Entry(next++, now, value));
            }
            woken = waiters.stream().filter(waiter -> waiter.from < next).toList();
            waiters.removeAll(woken);
        }
        woken.forEach(waiter -> waiter.ready.complete(null));
        return first;
    }

    synchronized Page read(long from, int max) {
        List<Entry> part =
                kept.stream().dropWhile(item -> item.offset < from).limit(max).toList();
        return new Page(oldest(), next, part);
    }

    synchronized Bounds bounds() {
        return new Bounds(oldest(), next);
    }

    /** Done once there is a record at this offset or later, or when someone completes it. */
    synchronized CompletableFuture<Void> whenAt(long from) {
        CompletableFuture<Void> ready = new CompletableFuture<>();
        if (from < next) {
            ready.complete(null);
            return ready;
        }
        waiters.removeIf(waiter -> waiter.ready.isDone());
        waiters.add(new Waiter(from, ready));
        return ready;
    }

    synchronized void dropBelow(long offset) {
        while (!kept.isEmpty() && kept.peekFirst().offset < offset) {
            kept.removeFirst();
        }
    }

    synchronized void dropBefore(long millis) {
        while (!kept.isEmpty() && kept.peekFirst().at < millis) {
            kept.removeFirst();
        }
    }

    private long oldest() {
        return next - kept.size();
    }

    record Entry(long offset, long at, JsonNode value) {}

    record Page(long oldest, long next, List<Entry> records) {}

    record Bounds(long oldest, long next) {}

    private record Waiter(long from, CompletableFuture<Void> ready) {}
}
