package org.cornelramp.daemon.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.cornelramp.core.model.Problem;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Writes problems as problem documents (RFC 9457). Stateless, safe for use by any thread. */
public final class ProblemWriter {
    /** Media type of problem documents. */
    public static final String MEDIA_TYPE = "application/problem+json";

    private static final String TYPE_PREFIX = "urn:cornelramp:problem:";
    private static final ObjectMapper JSON = new ObjectMapper();

    private ProblemWriter() {}

    /** Returns the problem as JSON, for a request without an id. */
    public static String toJson(Problem problem) {
        return toNode(problem).toString();
    }

    /** Returns the problem as JSON, with the id of the request. */
    public static String toJson(Problem problem, String requestId) {
        return toNode(problem).put("requestId", requestId).toString();
    }

    private static ObjectNode toNode(Problem problem) {
        String kind = problem.kind().text();
        ObjectNode node = JSON.createObjectNode();
        node.put("type", TYPE_PREFIX + kind);
        node.put("title", kind);
        node.put("status", problem.kind().status());
        node.put("detail", problem.detail());
        node.put("kind", kind);
        node.put("outcome", problem.outcome().text());
        node.put("remedy", problem.kind().remedy());
        node.put("retryAfterMillis", problem.retryAfter().toMillis());
        return node;
    }

    /** Answers with the problem and completes the callback. */
    public static void write(Response response, Callback callback, Problem problem) {
        response.setStatus(problem.kind().status());
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, MEDIA_TYPE);
        if (problem.kind().status() == HttpStatus.UNAUTHORIZED_401) {
            response.getHeaders().put(HttpHeader.WWW_AUTHENTICATE, "Bearer"); // HTTP requires it with a 401
        }
        if (!problem.retryAfter().isZero()) {
            long seconds = Math.max(1, (problem.retryAfter().toMillis() + 999) / 1_000);
            response.getHeaders().put(HttpHeader.RETRY_AFTER, seconds);
        }
        response.write(true, ByteBuffer.wrap(toJson(problem).getBytes(StandardCharsets.UTF_8)), callback);
    }
}
