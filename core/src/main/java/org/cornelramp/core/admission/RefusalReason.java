package org.cornelramp.core.admission;

import org.cornelramp.core.model.ProblemKind;

/** Why an {@link AdmissionQueue} does not serve a request. */
public enum RefusalReason {
    OUT_OF_TIME(ProblemKind.DEADLINE_UNREACHABLE, "The client would leave before the first event"),
    WAIT_TOO_LONG(ProblemKind.OVERLOADED, "The client would leave before there is capacity for the request"),
    QUEUE_FULL(ProblemKind.OVERLOADED, "The queue is full of requests that are at least as urgent"),
    DISPLACED(ProblemKind.OVERLOADED, "A more urgent request took the place in the full queue"),
    PATIENCE_ENDED(ProblemKind.OVERLOADED, "There was no capacity for the request while its client waited");

    private final ProblemKind kind;
    private final String detail;

    RefusalReason(ProblemKind kind, String detail) {
        this.kind = kind;
        this.detail = detail;
    }

    /** Kind of the answer to the client. */
    public ProblemKind kind() {
        return kind;
    }

    /** One sentence without its full stop. */
    public String detail() {
        return detail;
    }
}
