package org.cornelramp.daemon.entry;

/** Names of the HTTP headers, and media types, that callers send and receive. */
final class Headers {
    static final String DEADLINE = "Cornelramp-Deadline-Millis";
    static final String REQUEST_ID = "Cornelramp-Request-Id";
    static final String OUTCOME = "Cornelramp-Outcome";
    static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    static final String JSON = "application/json";
    static final String EVENT_STREAM = "text/event-stream";

    private Headers() {}
}
