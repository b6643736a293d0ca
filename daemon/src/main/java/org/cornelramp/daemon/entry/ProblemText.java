package org.cornelramp.daemon.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.cornelramp.core.model.Problem;

/** Writes problems as RFC 9457 documents. Stateless, safe for use by any thread. */
final class ProblemText {
    /** Media type of a problem document. */
    static final String MEDIA_TYPE = "application/problem+json";

    private static final String TYPE_PREFIX = "urn:cornelramp:problem:";
    private static final ObjectMapper JSON = new ObjectMapper();

    private ProblemText() {}

    static byte[] write(Problem problem, String requestId) {
        String kind = problem.kind().text();
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("type", TYPE_PREFIX + kind);
        node.put("title", kind.replace('-', ' '));
        node.put("status", problem.kind().status());
        node.put("detail", problem.detail());
        node.put("kind", kind);
        node.put("outcome", problem.outcome().text());
        node.put("remedy", problem.kind().remedy());
        node.put("requestId", requestId);
        node.put("retryAfterMillis", problem.retryAfter().toMillis());
        try {
            return JSON.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }
}
