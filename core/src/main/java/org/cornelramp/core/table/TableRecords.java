package org.cornelramp.core.table;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cornelramp.core.model.OrganisationId;
import org.cornelramp.core.model.ServiceName;

/**
 * The JSON forms of table edits, rows and snapshots on the log.
 *
 * <p>A record that is not in its form reads as empty, never as a guess: the log is append-only, and one bad record
 * must not stop every reader for good. Stateless, safe for use by any thread.
 */
public final class TableRecords {
    private static final String TYPE = "type";
    private static final String EDIT = "edit";
    private static final String SNAPSHOT = "snapshot";
    private static final int MAX_TEXT = 200;

    private TableRecords() {}

    /** A snapshot of the table that a record carries. */
    public record SnapshotRecord(long covers, byte[] snapshot) {}

    /** The record of an edit. */
    public static ObjectNode writeEdit(TableEdit edit) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put(TYPE, EDIT);
        node.put("id", edit.id());
        node.put("organisation", edit.key().organisation().value());
        node.put("service", edit.key().service().value());
        node.put("against", edit.against());
        node.set("values", edit.values().map(TableRecords::writeValues).orElse(null));
        node.put("by", edit.by());
        return node;
    }

    /** The edit that a record carries; empty if it carries none in the agreed form. */
    public static Optional<TableEdit> readEdit(JsonNode node) {
        if (!EDIT.equals(node.path(TYPE).textValue())) {
            return Optional.empty();
        }
        try {
            RowKey key =
                    new RowKey(new OrganisationId(text(node, "organisation")), new ServiceName(text(node, "service")));
            JsonNode values = node.path("values");
            // Only an explicit null deletes; a record that lacks the name is no edit.
            Optional<RowValues> columns = values.isNull() ? Optional.empty() : Optional.of(readValues(values));
            return Optional.of(new TableEdit(text(node, "id"), key, whole(node, "against"), columns, text(node, "by")));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /** The record of a snapshot. */
    public static ObjectNode writeSnapshot(SnapshotRecord snapshot, String by) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put(TYPE, SNAPSHOT);
        node.put("covers", snapshot.covers());
        node.put("table", snapshot.snapshot());
        node.put("by", by);
        return node;
    }

    /** The snapshot that a record carries; empty if it carries none in the agreed form. */
    public static Optional<SnapshotRecord> readSnapshot(JsonNode node) {
        if (!SNAPSHOT.equals(node.path(TYPE).textValue())) {
            return Optional.empty();
        }
        try {
            byte[] table = node.path("table").binaryValue();
            return table == null ? Optional.empty() : Optional.of(new SnapshotRecord(whole(node, "covers"), table));
        } catch (java.io.IOException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /** The columns as JSON, each under its own name. */
    public static ObjectNode writeValues(RowValues values) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("weight", values.weight());
        node.put("priority", values.priority());
        node.put("requestsPerSecond", values.requestsPerSecond());
        node.put("concurrency", values.concurrency());
        node.put("tokensPerSecond", values.tokensPerSecond());
        node.put("deadlineMillis", values.deadlineMillis());
        node.put("objectivePercent", values.objectivePercent());
        values.callerKeyHashes().forEach(node.putArray("callerKeyHashes")::add);
        return node;
    }

    /**
     * Reads all columns.
     *
     * @throws IllegalArgumentException if a column is absent or of another type; ranges are not checked
     */
    public static RowValues readValues(JsonNode node) {
        return new RowValues(
                integer(node, "weight"),
                integer(node, "priority"),
                real(node, "requestsPerSecond"),
                integer(node, "concurrency"),
                real(node, "tokensPerSecond"),
                whole(node, "deadlineMillis"),
                real(node, "objectivePercent"),
                texts(node, "callerKeyHashes"));
    }

    private static String text(JsonNode node, String name) {
        String text = node.path(name).textValue();
        if (text == null || text.length() > MAX_TEXT) {
            throw new IllegalArgumentException(name + ": Give a text of at most " + MAX_TEXT + " characters.");
        }
        return text;
    }

    private static int integer(JsonNode node, String name) {
        long value = whole(node, name);
        if (value != (int) value) {
            throw new IllegalArgumentException(name + ": Give a smaller number.");
        }
        return (int) value;
    }

    private static long whole(JsonNode node, String name) {
        JsonNode value = node.path(name);
        if (!value.isIntegralNumber() || !value.canConvertToLong()) {
            throw new IllegalArgumentException(name + ": Give a whole number.");
        }
        return value.longValue();
    }

    private static double real(JsonNode node, String name) {
        JsonNode value = node.path(name);
        if (!value.isNumber()) {
            throw new IllegalArgumentException(name + ": Give a number.");
        }
        return value.doubleValue();
    }

    private static List<String> texts(JsonNode node, String name) {
        JsonNode value = node.path(name);
        if (!value.isArray()) {
            throw new IllegalArgumentException(name + ": Give a list.");
        }
        List<String> texts = new ArrayList<>();
        for (JsonNode element : value) {
            if (!element.isTextual()) {
                throw new IllegalArgumentException(name + ": Give a list of texts.");
            }
            texts.add(element.textValue());
        }
        return texts;
    }
}
