package org.cornelramp.core.admission;

/** Why an {@link AdmissionQueue} does not serve a request. */
public enum RefusalReason {
    OUT_OF_TIME("The client would leave before the first event"),
    WAIT_TOO_LONG("The client would leave before there is capacity for the request"),
    QUEUE_FULL("The queue is full of requests that are at least as urgent"),
    DISPLACED("A more urgent request took the place in the full queue"),
    PATIENCE_ENDED("There was no capacity for the request while its client waited");

    private final String detail;

    RefusalReason(String detail) {
        this.detail = detail;
    }

    /** One sentence without its full stop. */
    public String detail() {
        return detail;
    }
}
