package org.cornelramp.bench.gateway;

import java.util.ArrayList;
import java.util.List;
import org.cornelramp.platform.standin.StandInBackend;

/** What the clients of a run ask for. Immutable, safe for use by any thread. */
enum CallKind {
    /** A stream over the engines. */
    CHAT("/chat/", 6_000) {
        @Override
        List<String> wholeAnswer(String requestId) {
            List<String> lines = new ArrayList<>();
            for (int event = 0; event < StandInBackend.EVENTS; event++) {
                lines.addAll(StandInBackend.event(requestId, event));
                lines.add("");
            }
            return lines;
        }
    },
    /** A request to the plain service that may run more than once. */
    LOOK("/look/", 3_000),
    /** A request to the plain service that must not. */
    BOOK("/book/", 2_000);

    private final String path;
    private final long deadlineMillis;

    CallKind(String path, long deadlineMillis) {
        this.path = path;
        this.deadlineMillis = deadlineMillis;
    }

    /** Path below which the configuration serves it. */
    String path() {
        return path;
    }

    /** How long its client waits. */
    long deadlineMillis() {
        return deadlineMillis;
    }

    /** The lines of the answer that a request must get. */
    List<String> wholeAnswer(String requestId) {
        return List.of(StandInBackend.answerTo(requestId));
    }
}
