package org.cornelramp.bench.gateway;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.cornelramp.platform.standin.StandInCaller;

/** All requests of a run. Safe for use by any thread. */
final class Calls {
    private final Map<String, Call> calls = new ConcurrentHashMap<>();

    void begin(String id, CallKind kind, int gateway, long nowMillis) {
        calls.put(id, new Call(id, kind, gateway, nowMillis, Long.MAX_VALUE, Long.MAX_VALUE, Optional.empty()));
    }

    void left(String id, long nowMillis) {
        calls.computeIfPresent(
                id,
                (any, call) -> call.endMillis() != Long.MAX_VALUE
                        ? call
                        : new Call(
                                id,
                                call.kind(),
                                call.gateway(),
                                call.startMillis(),
                                nowMillis,
                                nowMillis,
                                Optional.empty()));
    }

    void end(String id, StandInCaller.Answer answer, long nowMillis) {
        calls.computeIfPresent(
                id,
                (any, call) -> call.hasLeft()
                        ? call
                        : new Call(
                                id,
                                call.kind(),
                                call.gateway(),
                                call.startMillis(),
                                nowMillis,
                                Long.MAX_VALUE,
                                Optional.of(answer)));
    }

    /** Requests that have neither an answer nor a client that left. */
    long open() {
        return calls.values().stream()
                .filter(call -> call.endMillis() == Long.MAX_VALUE)
                .count();
    }

    List<Call> all() {
        return List.copyOf(calls.values());
    }
}
