package org.cornelramp.core.key;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cornelramp.core.call.AgentReply;
import org.cornelramp.core.call.CallResult;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.model.OrganisationId;
import org.cornelramp.core.model.Outcome;
import org.cornelramp.core.model.Problem;
import org.cornelramp.core.model.ProblemKind;

/**
 * The JSON form of the records of the key stream. Stateless, safe for use by any thread.
 *
 * <p>Every reader skips the same records that it cannot parse: the log is shared, and one bad record must not stop all
 * entries.
 */
public final class KeyRecordCodec {
    private static final String TYPE = "type";
    private static final String BIND = "bind";
    private static final String SETTLED = "settled";
    private static final String KEY = "key";
    private static final String ORGANISATION = "organisation";
    private static final String INCARNATION = "incarnation";
    private static final String FINGERPRINT = "fingerprint";

    private KeyRecordCodec() {}

    /** Converts a binding to JSON. */
    public static JsonNode write(KeyRecord.Bind bind) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put(TYPE, BIND);
        node.put(KEY, bind.key());
        node.put(ORGANISATION, bind.organisation().value());
        node.put(INCARNATION, bind.incarnation().toString());
        node.put(FINGERPRINT, bind.fingerprint());
        return node;
    }

    /** Parses a record; empty if it is in no known form. */
    public static Optional<KeyRecord> read(JsonNode node) {
        try {
            return switch (node.path(TYPE).asText()) {
                case BIND -> Optional.of(readBind(node));
                case SETTLED -> Optional.of(readSettled(node));
                default -> Optional.empty();
            };
        } catch (IOException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static KeyRecord readBind(JsonNode node) {
        return new KeyRecord.Bind(
                text(node, KEY),
                new OrganisationId(text(node, ORGANISATION)),
                Incarnation.parse(text(node, INCARNATION)),
                text(node, FINGERPRINT));
    }

    private static KeyRecord readSettled(JsonNode node) throws IOException {
        Map<String, AgentReply> results = new HashMap<>();
        for (JsonNode result : node.path("results")) {
            results.put(text(result, KEY), readReply(result));
        }
        int parts = node.path("parts").asInt();
        if (parts < 1) {
            throw new IllegalArgumentException("A settled record needs at least one part");
        }
        return new KeyRecord.Settled(
                Incarnation.parse(text(node, INCARNATION)), node.path("part").asInt(), parts, results);
    }

    private static AgentReply readReply(JsonNode result) throws IOException {
        Outcome outcome = outcome(text(result, "outcome"));
        if (outcome == Outcome.ANSWERED) {
            JsonNode body = result.path("body");
            byte[] bytes = body.isMissingNode() || body.isNull() ? new byte[0] : body.binaryValue();
            return AgentReply.of(new CallResult(
                    result.path("status").asInt(), result.path("contentType").asText(""), bytes));
        }
        ProblemKind kind = result.hasNonNull("kind")
                ? ProblemKind.parse(text(result, "kind"))
                : outcome == Outcome.NOT_RUN ? ProblemKind.KEY_SPENT : ProblemKind.BACKEND_LOST;
        String detail = result.path("detail").asText("The backend server settled the key when it stopped.");
        return AgentReply.of(new Problem(kind, outcome, detail, Duration.ZERO));
    }

    private static Outcome outcome(String text) {
        for (Outcome outcome : Outcome.values()) {
            if (outcome.text().equals(text)) {
                return outcome;
            }
        }
        throw new IllegalArgumentException("Unknown outcome");
    }

    private static String text(JsonNode node, String field) {
        JsonNode value = node.path(field);
        if (!value.isTextual()) {
            throw new IllegalArgumentException("The record has no text field " + field);
        }
        return value.textValue();
    }
}
