package org.cornelramp.core.operate;

import java.util.List;

/**
 * What one entry decided on one request. Immutable, safe for use by any thread.
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
     * @param step what was decided
     * @param facts where and why, as key=value facts
     */
    public record Step(long at, String step, String facts) {}
}
