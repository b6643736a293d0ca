package org.cornelramp.core.retry;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Requests whose attempt has failed and which wait for a repeat, in the order in which they get one: those whose answer
 * has begun first, as nobody else can carry them on; then by deadline.
 *
 * <p>A burst of failures uses up a process's own repeats within moments. Refused at once, callers would be turned away
 * while other processes have repeats to lend; those come within two rounds of news. Owned by one thread.
 *
 * <p>Invariant: at most {@value #MOST_FRESH} requests wait that have not begun, and none of them longer than its time.
 */
public final class RetryQueue<T> {
    /** Most requests that wait and have not begun: some seconds of a busy process's. */
    static final int MOST_FRESH = 256;

    private final Map<T, WaitState> waiting = new LinkedHashMap<>();
    private int fresh;

    /**
     * How a request waits. Immutable, safe for use by any thread.
     *
     * @param begun whether a part of its answer has been passed on; it waits until its client leaves
     * @param deadlineMillis when its client must have an answer
     * @param waitUntilMillis when it is refused if it has not begun
     */
    public record WaitState(boolean begun, long deadlineMillis, long waitUntilMillis) {}

    /** Lets a request wait; false if too many do. One that waits already keeps its time. */
    public boolean add(T request, WaitState how) {
        if (waiting.containsKey(request)) {
            return true;
        }
        if (!how.begun() && fresh >= MOST_FRESH) {
            return false;
        }
        fresh += how.begun() ? 0 : 1;
        waiting.put(request, how);
        return true;
    }

    /** Lets a request wait no longer; how it waited, empty if it did not. */
    public Optional<WaitState> remove(T request) {
        Optional<WaitState> how = Optional.ofNullable(waiting.remove(request));
        fresh -= how.isPresent() && !how.get().begun() ? 1 : 0;
        return how;
    }

    /** Whether a request waits. */
    public boolean contains(T request) {
        return waiting.containsKey(request);
    }

    /** All that wait, the first to get a repeat first. */
    public List<T> inOrder() {
        Comparator<Map.Entry<T, WaitState>> begunFirst =
                Comparator.comparing(entry -> !entry.getValue().begun());
        return waiting.entrySet().stream()
                .sorted(begunFirst.thenComparing(entry -> entry.getValue().deadlineMillis()))
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Takes out the requests that have not begun and whose time to wait is over. */
    public List<T> removeOverdue(long nowMillis) {
        List<T> overdue = new ArrayList<>();
        waiting.forEach((request, how) -> {
            if (!how.begun() && nowMillis >= how.waitUntilMillis()) {
                overdue.add(request);
            }
        });
        overdue.forEach(this::remove);
        return overdue;
    }
}
