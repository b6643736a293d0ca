package org.cornelramp.daemon.report;

import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cornelramp.core.operate.ExplainDocument;

/**
 * Holds in memory the decisions on the most recent requests, for explanations to operators; the oldest request is
 * evicted first.
 *
 * <p>Safe for use by any thread. Invariant: at most {@value #MAX_REQUESTS} requests with {@value #MAX_STEPS} steps of
 * {@value #MAX_CHARS} characters each are kept, so that a long path from a caller cannot exhaust the memory.
 */
public final class RequestDecisionLog {
    static final int MAX_REQUESTS = 4_096;
    static final int MAX_STEPS = 48;
    static final int MAX_CHARS = 300;

    private static final String TRUNCATION_MARK = "…";

    private final Map<String, List<ExplainDocument.Step>> requests = new LinkedHashMap<>();

    synchronized void decided(String requestId, Instant now, String step, String facts) {
        List<ExplainDocument.Step> steps = requests.computeIfAbsent(requestId, id -> new ArrayList<>(4));
        if (steps.size() < MAX_STEPS) {
            steps.add(new ExplainDocument.Step(now.toEpochMilli(), truncate(step), truncate(facts)));
        }
        if (requests.size() > MAX_REQUESTS) {
            requests.remove(requests.keySet().iterator().next());
        }
    }

    /** Returns the decisions on a request, in order; empty if none are held. */
    public synchronized List<ExplainDocument.Step> steps(String requestId) {
        return List.copyOf(requests.getOrDefault(requestId, List.of()));
    }

    private static String truncate(String text) {
        return text.length() <= MAX_CHARS ? text : text.substring(0, MAX_CHARS) + TRUNCATION_MARK;
    }
}
