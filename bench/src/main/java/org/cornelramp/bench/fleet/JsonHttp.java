package org.cornelramp.bench.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;

/** Sends and reads JSON over HTTP, for tools and tests. Safe for use by any thread. */
public final class JsonHttp implements AutoCloseable {
    private static final long TIMEOUT_MILLIS = 30_000;

    private final HttpClient client = new HttpClient();
    private final ObjectMapper mapper = new ObjectMapper();

    /** One answer. Immutable if the body is not changed. */
    public record Answer(int status, Map<String, String> headers, String body) {

        /** A header by its lower-case name; empty if there is none. */
        public String header(String name) {
            return headers.getOrDefault(name, "");
        }
    }

    public JsonHttp() {
        client.setMaxConnectionsPerDestination(256);
        client.setFollowRedirects(false);
        try {
            client.start();
            // Callers must see every answer as it was sent: no redirects, no retry after a 401.
            client.getProtocolHandlers().clear();
        } catch (Exception e) {
            throw new FleetException("Could not start the HTTP client", e);
        }
    }

    /** Sends one request and returns the whole answer, whatever its status. */
    public Answer send(String method, String url, Map<String, String> headers, String body) {
        Request request = client.newRequest(url).method(method).timeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        headers.forEach((name, value) -> request.headers(fields -> fields.put(name, value)));
        if (!body.isEmpty()) {
            request.body(new StringRequestContent("application/json", body));
        }
        try {
            return answer(request.send());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new FleetException("Interrupted while waiting for " + url, e);
        } catch (TimeoutException | ExecutionException e) {
            throw new FleetException("No answer from " + url, e);
        }
    }

    /** Sends JSON and returns the JSON of a successful answer; throws a {@link FleetException} for another one. */
    public JsonNode json(String method, String url, Object body) {
        try {
            Answer answer = send(method, url, Map.of(), body == null ? "" : mapper.writeValueAsString(body));
            if (answer.status() >= 300) {
                throw new FleetException(method + " " + url + " gave " + answer.status() + ": " + answer.body());
            }
            return answer.body().isEmpty() ? mapper.createObjectNode() : mapper.readTree(answer.body());
        } catch (IOException e) {
            throw new FleetException("Not JSON from " + url, e);
        }
    }

    /** Parses the body of an answer. */
    public JsonNode read(String body) {
        try {
            return mapper.readTree(body);
        } catch (IOException e) {
            throw new FleetException("Not JSON: " + body, e);
        }
    }

    @Override
    public void close() {
        try {
            client.stop();
        } catch (Exception e) {
            throw new FleetException("Could not stop the HTTP client", e);
        }
    }

    private static Answer answer(ContentResponse response) {
        Map<String, String> headers = new HashMap<>();
        response.getHeaders().forEach(field -> headers.put(field.getLowerCaseName(), field.getValue()));
        return new Answer(response.getStatus(), Map.copyOf(headers), response.getContentAsString());
    }
}
