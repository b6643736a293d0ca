package org.cornelramp.daemon.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import org.cornelramp.core.model.ServiceName;

/** Writes chat completion responses and their stream events as JSON. Immutable, safe for use by any thread. */
final class ChatResponseWriter {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final String id;
    private final long created;
    private final ServiceName model;

    ChatResponseWriter(String id, Instant created, ServiceName model) {
        this.id = id;
        this.created = created.getEpochSecond();
        this.model = model;
    }

    /** Returns a stream event that carries text. */
    byte[] chunk(String text) {
        ObjectNode delta = JsonNodeFactory.instance.objectNode();
        delta.put("role", "assistant").put("content", text);
        return event(delta, null);
    }

    /** Returns the stream event that carries the finish reason. */
    byte[] lastChunk(String finishReason) {
        return event(JsonNodeFactory.instance.objectNode(), finishReason);
    }

    /** Returns the complete response of a request that is not streamed. */
    byte[] completion(String text, String finishReason, int promptTokens, int completionTokens) {
        ObjectNode root = root("chat.completion");
        ObjectNode choice = root.putArray("choices").addObject();
        choice.put("index", 0);
        choice.putObject("message").put("role", "assistant").put("content", text);
        choice.put("finish_reason", finishReason);
        root.putObject("usage")
                .put("prompt_tokens", promptTokens)
                .put("completion_tokens", completionTokens)
                .put("total_tokens", promptTokens + completionTokens);
        return write(root);
    }

    private byte[] event(ObjectNode delta, String finishReason) {
        ObjectNode root = root("chat.completion.chunk");
        ObjectNode choice = root.putArray("choices").addObject();
        choice.put("index", 0);
        choice.set("delta", delta);
        choice.put("finish_reason", finishReason);
        return write(root);
    }

    private ObjectNode root(String object) {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        root.put("id", id).put("object", object).put("created", created).put("model", model.value());
        return root;
    }

    private static byte[] write(ObjectNode node) {
        try {
            return JSON.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }
}
