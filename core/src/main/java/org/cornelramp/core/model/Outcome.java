package org.cornelramp.core.model;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * What is known of a request's effect when its caller gets the final answer. The set is closed.
 *
 * <p>{@link #UNKNOWN} is never reported as one of the others: a caller told {@link #NOT_RUN} may safely book again.
 */
public enum Outcome {
    /** The request ran, and the caller has its whole answer. */
    @JsonProperty("answered")
    ANSWERED("answered"),
    /** The request did not run and never will under its key. */
    @JsonProperty("not-run")
    NOT_RUN("not-run"),
    /** The request may have run: the process that knew has ended without a word. */
    @JsonProperty("unknown")
    UNKNOWN("unknown");

    private final String text;

    Outcome(String text) {
        this.text = text;
    }

    /** The form that answers and logs carry. */
    public String text() {
        return text;
    }
}
