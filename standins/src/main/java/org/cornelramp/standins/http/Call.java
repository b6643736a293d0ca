package org.cornelramp.standins.http;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * One HTTP request to a stand-in with its complete body. Immutable as long as nobody modifies the body array.
 *
 * @param method HTTP method
 * @param path path without the query
 * @param query query parameters
 * @param headers headers, names in lower case
 * @param body the body
 */
public record Call(String method, String path, Map<String, String> query, Map<String, String> headers, byte[] body) {

    /** Whether the call has this method and exactly this path. */
    public boolean matches(String wantedMethod, String wantedPath) {
        return method.equals(wantedMethod) && path.equals(wantedPath);
    }

    /** Value of a query parameter as an integer; the default if it is absent. */
    public long longParameter(String name, long defaultValue) {
        String text = query.get(name);
        return text == null ? defaultValue : Long.parseLong(text);
    }

    /** Value of a header; names are not case-sensitive. */
    public Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name.toLowerCase(Locale.ROOT)));
    }

    /** The body decoded as UTF-8. */
    public String bodyText() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /** The body parsed as JSON; throws {@link IllegalArgumentException} if it is not JSON. */
    public JsonNode json() {
        try {
            return Json.MAPPER.readTree(body);
        } catch (IOException e) {
            throw new IllegalArgumentException("The body is not JSON: " + e.getMessage(), e);
        }
    }

    /** The body parsed as JSON of a type; throws {@link IllegalArgumentException} if it does not match the type. */
    public <T> T json(Class<T> type) {
        try {
            return Json.MAPPER.readValue(body, type);
        } catch (IOException e) {
            throw new IllegalArgumentException(
                    "The body does not match the expected JSON structure: " + e.getMessage(), e);
        }
    }
}
