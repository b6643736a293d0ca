package org.cornelramp.daemon.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.cornelramp.core.model.NameValidator;
import org.cornelramp.core.model.Problem;
import org.cornelramp.core.model.ProblemKind;
import org.cornelramp.core.model.ServiceName;

/** Parses the body of a chat completion request. Stateless, safe for use by any thread. */
final class ChatRequestReader {
    /** Limit on generated tokens if the request has no {@code max_tokens}. */
    static final int DEFAULT_MAX_TOKENS = 128;

    /** Largest value of {@code max_tokens} that is accepted. */
    static final int MAX_TOKENS = 4_096;

    private static final ObjectMapper JSON = new ObjectMapper();

    private ChatRequestReader() {}

    static Either<Problem, ChatRequest> read(byte[] body) {
        JsonNode root;
        try {
            root = JSON.readTree(body);
        } catch (IOException e) {
            return malformed("The body is not JSON.");
        }
        if (root == null || !root.isObject()) {
            return malformed("The body is not a JSON object.");
        }
        JsonNode model = root.path("model");
        if (!model.isTextual() || !NameValidator.isValid(model.textValue())) {
            return malformed("model is not the name of a model.");
        }
        return contents(root.path("messages"))
                .flatMap(contents -> maxTokens(root).flatMap(max -> stream(root)
                        .map(stream -> new ChatRequest(new ServiceName(model.textValue()), contents, max, stream))));
    }

    private static Either<Problem, List<String>> contents(JsonNode messages) {
        if (!messages.isArray() || messages.isEmpty()) {
            return malformed("messages is not a list of at least one message.");
        }
        List<String> contents = new ArrayList<>();
        for (int i = 0; i < messages.size(); i++) {
            JsonNode content = messages.get(i).path("content");
            if (!content.isTextual()) {
                return malformed("messages[" + i + "].content is not a string.");
            }
            contents.add(content.textValue());
        }
        if (contents.size() == 1 && contents.get(0).isEmpty()) {
            return malformed("messages[0].content is empty.");
        }
        return Either.right(contents);
    }

    private static Either<Problem, Integer> maxTokens(JsonNode root) {
        JsonNode max = root.path("max_tokens");
        if (max.isMissingNode() || max.isNull()) {
            return Either.right(DEFAULT_MAX_TOKENS);
        }
        if (!max.isInt() || max.intValue() < 1 || max.intValue() > MAX_TOKENS) {
            return malformed("max_tokens is not a whole number from 1 to " + MAX_TOKENS + ".");
        }
        return Either.right(max.intValue());
    }

    private static Either<Problem, Boolean> stream(JsonNode root) {
        JsonNode stream = root.path("stream");
        if (stream.isMissingNode() || stream.isNull()) {
            return Either.right(false);
        }
        return stream.isBoolean() ? Either.right(stream.booleanValue()) : malformed("stream is not true or false.");
    }

    private static <T> Either<Problem, T> malformed(String detail) {
        return Either.left(Problem.notRun(ProblemKind.MALFORMED_REQUEST, detail));
    }
}
