package org.cornelramp.daemon.report;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cornelramp.core.model.Outcome;
import org.cornelramp.core.table.RowKey;

/**
 * Remembers what was decided on the newest requests; the oldest request is forgotten first.
 *
 * <p>Safe for use by any thread. Invariant: at most {@value #MAX_REQUESTS} requests with {@value #MAX_STEPS} steps
 * each are kept.
 */
public final class RequestMemory implements RequestRecorder {
    static final int MAX_REQUESTS = 4_096;
    static final int MAX_STEPS = 64;

    private final Map<String, List<Step>> requests = new LinkedHashMap<>();

    /**
     * One decision. Immutable, safe for use by any thread.
     *
     * @param at when
     * @param step what was decided
     * @param facts where and why
     */
    public record Step(Instant at, String step, String facts) {}

    @Override
    public synchronized void decided(String requestId, Instant now, String step, String facts) {
        List<Step> steps = requests.computeIfAbsent(requestId, id -> new ArrayList<>(4));
        if (steps.size() < MAX_STEPS) {
            steps.add(new Step(now, step, facts));
        }
        if (requests.size() > MAX_REQUESTS) {
            requests.remove(requests.keySet().iterator().next());
        }
    }

    @Override
    public void ended(RowKey row, Outcome outcome, boolean inTime, Duration latency, Instant now) {}

    /** What was decided on a request, in order; empty if nothing is remembered. */
    public synchronized List<Step> steps(String requestId) {
        return List.copyOf(requests.getOrDefault(requestId, List.of()));
    }
}
