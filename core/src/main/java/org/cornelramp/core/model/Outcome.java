package org.cornelramp.core.model;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * What is known about the effect of a request when its caller gets the final answer. The set is closed.
 *
 * <p>{@link #UNKNOWN} is never reported as another value: a caller that gets {@link #NOT_RUN} may safely send the
 * request again, for example a booking.
 */
public enum Outcome {
    /** The request ran, and the caller has its whole answer. */
    @JsonProperty("answered")
    ANSWERED("answered"),
    /** The request did not run and never will under its idempotency key. */
    @JsonProperty("not-run")
    NOT_RUN("not-run"),
    /** The request may have run: the process that knew has ended without reporting it. */
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
