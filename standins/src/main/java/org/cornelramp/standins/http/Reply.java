package org.cornelramp.standins.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.Map;

/**
 * HTTP response of a stand-in. Immutable as long as nobody modifies the body array.
 *
 * @param status HTTP status
 * @param headers headers other than the content type
 * @param body JSON; empty for none
 */
public record Reply(int status, Map<String, String> headers, byte[] body) {
    private static final int OK = 200;
    private static final int NO_CONTENT = 204;
    private static final byte[] EMPTY_BODY = {};

    /** A response with status 200 and a JSON body. */
    public static Reply ok(Object value) {
        return of(OK, value);
    }

    /** A response with a JSON body. */
    public static Reply of(int status, Object value) {
        try {
            return new Reply(status, Map.of(), Json.MAPPER.writeValueAsBytes(value));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("The response body cannot be written as JSON", e);
        }
    }

    /** A response with status 204 and no body. */
    public static Reply noContent() {
        return new Reply(NO_CONTENT, Map.of(), EMPTY_BODY);
    }

    /** An error response whose JSON body has the text in its field {@code error}. */
    public static Reply error(int status, String text) {
        return of(status, Map.of("error", text));
    }

    /** This response with a {@code Retry-After} header, in whole seconds, as its only header. */
    public Reply withRetryAfter(long seconds) {
        return new Reply(status, Map.of("Retry-After", Long.toString(seconds)), body);
    }
}
