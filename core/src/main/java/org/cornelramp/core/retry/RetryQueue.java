package org.cornelramp.core.retry;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Requests whose attempt has failed and that wait until the retry budget allows another one. Requests whose answer has
 * begun come first, as no other process can continue them; the rest are ordered by deadline.
 *
 * <p>A burst of failures exhausts a process's own retries at once. Without the queue its callers would be refused while
 * other processes have retries to lend, which arrive within two rounds of peer updates. Owned by one thread.
 *
 * <p>Invariant: at most {@value #MAX_NOT_BEGUN} requests wait whose answer has not begun, and none of them beyond its
 * {@link WaitState#waitUntilMillis}.
 */
public final class RetryQueue<T> {
    /** Most waiting requests whose answer has not begun: as many as a busy process receives in some seconds. */
    static final int MAX_NOT_BEGUN = 256;

    private final Map<T, WaitState> waiting = new LinkedHashMap<>();
    private int notBegunCount;

    /**
     * State of one waiting request. Immutable, safe for use by any thread.
     *
     * @param begun whether a part of the answer has been sent to the client; the request then waits until the client
     *     disconnects
     * @param deadlineMillis time by which the client must have an answer
     * @param waitUntilMillis time at which the request is refused if its answer has not begun
     */
    public record WaitState(boolean begun, long deadlineMillis, long waitUntilMillis) {}

    /** Adds a request; returns false if the queue is full. A request that waits already keeps its state. */
    public boolean add(T request, WaitState state) {
        if (waiting.containsKey(request)) {
            return true;
        }
        if (!state.begun() && notBegunCount >= MAX_NOT_BEGUN) {
            return false;
        }
        notBegunCount += state.begun() ? 0 : 1;
        waiting.put(request, state);
        return true;
    }

    /** Removes a request; returns the state that it had, empty if it did not wait. */
    public Optional<WaitState> remove(T request) {
        Optional<WaitState> state = Optional.ofNullable(waiting.remove(request));
        notBegunCount -= state.isPresent() && !state.get().begun() ? 1 : 0;
        return state;
    }

    public boolean contains(T request) {
        return waiting.containsKey(request);
    }

    /** Returns all waiting requests in the order in which they are retried. */
    public List<T> inOrder() {
        Comparator<Map.Entry<T, WaitState>> begunFirst =
                Comparator.comparing(entry -> !entry.getValue().begun());
        return waiting.entrySet().stream()
                .sorted(begunFirst.thenComparing(entry -> entry.getValue().deadlineMillis()))
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Removes and returns the requests whose answer has not begun and whose waiting time is over. */
    public List<T> removeOverdue(long nowMillis) {
        List<T> overdue = new ArrayList<>();
        waiting.forEach((request, state) -> {
            if (!state.begun() && nowMillis >= state.waitUntilMillis()) {
                overdue.add(request);
            }
        });
        overdue.forEach(this::remove);
        return overdue;
    }
}
