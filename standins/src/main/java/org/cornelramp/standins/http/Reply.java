package org.cornelramp.standins.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.Map;

/**
 * The answer of a stand-in. Immutable if the body is not changed.
 *
 * @param status HTTP status
 * @param headers headers beside the content type
 * @param body JSON; empty for none
 */
public record Reply(int status, Map<String, String> headers, byte[] body) {
    private static final int OK = 200;
    private static final int NO_CONTENT = 204;
    private static final byte[] NOTHING = {};

    /** A successful answer. */
    public static Reply ok(Object value) {
        return of(OK, value);
    }

    /** An answer with a JSON body. */
    public static Reply of(int status, Object value) {
        try {
            return new Reply(status, Map.of(), Json.MAPPER.writeValueAsBytes(value));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("The answer has no JSON form", e);
        }
    }

    /** A successful answer without a body. */
    public static Reply noContent() {
        return new Reply(NO_CONTENT, Map.of(), NOTHING);
    }

    /** An answer that says what is wrong. */
    public static Reply error(int status, String text) {
        return of(status, Map.of("error", text));
    }

    /** The same with a time to come back, in whole seconds. */
    public Reply withRetryAfter(long seconds) {
        return new Reply(status, Map.of("Retry-After", Long.toString(seconds)), body);
    }
}
