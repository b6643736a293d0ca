package org.cornelramp.core.ledger;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.model.Outcome;

/**
 * The log records in which an agent incarnation publishes the results of its keys at its planned stop.
 *
 * <p>Keys that never ran are omitted: once all parts are on the log, a key of that incarnation that is not listed never
 * ran and never will. Stateless, safe for use by any thread.
 */
public final class SettledRecords {
    private static final String TYPE = "settled";
    private static final int KEY_BYTES = 200;
    private static final int BASE64_NUMERATOR = 4;
    private static final int BASE64_DENOMINATOR = 3;

    private SettledRecords() {}

    /**
     * Builds the records; there is always at least one.
     *
     * @param incarnation the incarnation that ends
     * @param keys its settled keys
     * @param maxBytes approximate maximum size of a record; only a single larger answer exceeds it
     */
    public static List<JsonNode> write(Incarnation incarnation, List<Ledger.SettledKey> keys, int maxBytes) {
        List<ArrayNode> parts = new ArrayList<>();
        parts.add(JsonNodeFactory.instance.arrayNode());
        int bytes = 0;
        for (Ledger.SettledKey key : keys) {
            if (key.result().outcome() == Outcome.NOT_RUN) {
                continue;
            }
            int size = KEY_BYTES + key.result().body().length * BASE64_NUMERATOR / BASE64_DENOMINATOR;
            if (bytes > 0 && bytes + size > maxBytes) {
                parts.add(JsonNodeFactory.instance.arrayNode());
                bytes = 0;
            }
            bytes += size;
            parts.get(parts.size() - 1).add(result(key));
        }
        List<JsonNode> records = new ArrayList<>();
        for (int i = 0; i < parts.size(); i++) {
            records.add(part(incarnation, i, parts.size(), parts.get(i)));
        }
        return records;
    }

    private static JsonNode part(Incarnation incarnation, int number, int count, ArrayNode results) {
        ObjectNode record = JsonNodeFactory.instance.objectNode();
        record.put("type", TYPE);
        record.put("incarnation", incarnation.toString());
        record.put("part", number);
        record.put("parts", count);
        record.set("results", results);
        return record;
    }

    private static JsonNode result(Ledger.SettledKey key) {
        KeyResult result = key.result();
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("key", key.key());
        node.put("outcome", result.outcome().text());
        node.put("status", result.status());
        node.put("contentType", result.contentType());
        node.put("body", result.body());
        return node;
    }

    /** The part number of a record; empty if it is not a settled record of the incarnation. */
    public static OptionalInt partNumber(JsonNode record, Incarnation incarnation) {
        boolean own = record.path("type").asText().equals(TYPE)
                && record.path("incarnation").asText().equals(incarnation.toString());
        return own ? OptionalInt.of(record.path("part").asInt()) : OptionalInt.empty();
    }
}
