package org.cornelramp.bench.gateway;

import java.util.ArrayList;
import java.util.List;
import org.cornelramp.platform.standin.StandInBackend;

/** Kinds of requests that the clients of a run send. Immutable, safe for use by any thread. */
enum CallKind {
    /** A streamed request to the engines. */
    CHAT("/chat/", 6_000) {
        @Override
        List<String> completeAnswer(String requestId) {
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
    /** A request to the plain service that must not run more than once. */
    BOOK("/book/", 2_000);

    private final String path;
    private final long deadlineMillis;

    CallKind(String path, long deadlineMillis) {
        this.path = path;
        this.deadlineMillis = deadlineMillis;
    }

    /** Path prefix under which the configuration routes this kind. */
    String path() {
        return path;
    }

    /** Time that the client allows, in milliseconds. */
    long deadlineMillis() {
        return deadlineMillis;
    }

    /** Ids of the parts of the prompt of a request; empty for a request without a prompt. */
    List<String> promptParts(String requestId) {
        return this == CHAT ? PromptParts.of(requestId) : List.of();
    }

    /** The lines of the complete answer to a request. */
    List<String> completeAnswer(String requestId) {
        return List.of(StandInBackend.answerTo(requestId));
    }
}
