package org.cornelramp.standins.http;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * One HTTP request to a stand-in, read whole. Immutable if the body is not changed.
 *
 * @param method HTTP method
 * @param path path without the query
 * @param query query parameters
 * @param headers headers, names in lower case
 * @param body the body
 */
public record Call(String method, String path, Map<String, String> query, Map<String, String> headers, byte[] body) {

    /** Whether this is a call of a method to an exact path. */
    public boolean is(String wantedMethod, String wantedPath) {
        return method.equals(wantedMethod) && path.equals(wantedPath);
    }

    /** A numeric query parameter. */
    public long number(String name, long otherwise) {
        String text = query.get(name);
        return text == null ? otherwise : Long.parseLong(text);
    }

    /** A header; names are not case-sensitive. */
    public Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name.toLowerCase(Locale.ROOT)));
    }

    /** The body as text. */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /** The body as JSON. */
    public JsonNode json() {
        try {
            return Json.MAPPER.readTree(body);
        } catch (IOException e) {
            throw new IllegalArgumentException("The body is not JSON: " + e.getMessage(), e);
        }
    }

    /** The body as a value. */
    public <T> T json(Class<T> type) {
        try {
            return Json.MAPPER.readValue(body, type);
        } catch (IOException e) {
            throw new IllegalArgumentException("The body is not in the agreed form: " + e.getMessage(), e);
        }
    }
}
