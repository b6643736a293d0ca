package org.cornelramp.bench.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * The part of one streamed answer that has been received. Confined to one thread at a time.
 *
 * <p>Invariant: an answer counts as whole only after its explicit end, so that a cut stream never counts as one.
 */
final class ChatAnswer {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String DONE = "[DONE]";

    private final StringBuilder text = new StringBuilder();
    private JsonNode problem;
    private boolean done;

    /** Adds the data of one event; returns whether it contains text. */
    boolean add(String data) {
        if (data.equals(DONE)) {
            done = true;
            return false;
        }
        JsonNode event = parse(data);
        if (event.has("outcome")) {
            problem = event;
            return false;
        }
        String piece =
                event.path("choices").path(0).path("delta").path("content").asText("");
        text.append(piece);
        return !piece.isEmpty();
    }

    boolean isDone() {
        return done;
    }

    /** The final problem; null if there is none. */
    JsonNode problem() {
        return problem;
    }

    String text() {
        return text.toString();
    }

    static JsonNode parse(String json) {
        try {
            JsonNode node = MAPPER.readTree(json);
            return node == null ? MAPPER.missingNode() : node;
        } catch (JsonProcessingException e) {
            return MAPPER.missingNode();
        }
    }
}
