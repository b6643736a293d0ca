package org.cornelramp.core.operate;

import java.util.List;

/**
 * The decisions of one entry about one request. Immutable, safe for use by any thread.
 *
 * @param entry the entry
 * @param requestId the request
 * @param steps the decisions, in order
 */
public record ExplainDocument(String entry, String requestId, List<Step> steps) {

    /**
     * One decision.
     *
     * @param at when, in milliseconds since 1970
     * @param step the decision
     * @param facts place and reason as key=value pairs
     */
    public record Step(long at, String step, String facts) {}
}
