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
 * <p>A malformed record reads as empty and is never partly interpreted: the log is append-only, and one bad record must
 * not stop every reader permanently. Stateless, safe for use by any thread.
 */
public final class TableRecords {
    private static final String TYPE = "type";
    private static final String EDIT = "edit";
    private static final String SNAPSHOT = "snapshot";
    private static final int MAX_TEXT_CHARS = 200;

    private TableRecords() {}

    /** A table snapshot in a record, with the offset of its table. */
    public record SnapshotRecord(long coveredOffset, byte[] snapshot) {}

    /** Writes an edit as a record. */
    public static ObjectNode writeEdit(TableEdit edit) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put(TYPE, EDIT);
        node.put("id", edit.id());
        node.put("organisation", edit.key().organisation().value());
        node.put("service", edit.key().service().value());
        node.put("against", edit.baseVersion());
        node.set("values", edit.values().map(TableRecords::writeValues).orElse(null));
        node.put("by", edit.author());
        return node;
    }

    /** Reads the edit in a record; empty if the record is no well-formed edit. */
    public static Optional<TableEdit> readEdit(JsonNode node) {
        if (!EDIT.equals(node.path(TYPE).textValue())) {
            return Optional.empty();
        }
        try {
            RowKey key = new RowKey(
                    new OrganisationId(readText(node, "organisation")), new ServiceName(readText(node, "service")));
            JsonNode values = node.path("values");
            // Only an explicit null deletes the row; a record without the field is not an edit.
            Optional<RowValues> columns = values.isNull() ? Optional.empty() : Optional.of(readValues(values));
            return Optional.of(
                    new TableEdit(readText(node, "id"), key, readLong(node, "against"), columns, readText(node, "by")));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /** Writes a snapshot as a record. */
    public static ObjectNode writeSnapshot(SnapshotRecord snapshot, String by) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put(TYPE, SNAPSHOT);
        node.put("covers", snapshot.coveredOffset());
        node.put("table", snapshot.snapshot());
        node.put("by", by);
        return node;
    }

    /** Reads the snapshot in a record; empty if the record is no well-formed snapshot. */
    public static Optional<SnapshotRecord> readSnapshot(JsonNode node) {
        if (!SNAPSHOT.equals(node.path(TYPE).textValue())) {
            return Optional.empty();
        }
        try {
            byte[] table = node.path("table").binaryValue();
            return table == null ? Optional.empty() : Optional.of(new SnapshotRecord(readLong(node, "covers"), table));
        } catch (java.io.IOException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /** Writes the columns as a JSON object with their names. */
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
     * @throws IllegalArgumentException if a column is absent or of the wrong type; ranges are not checked
     */
    public static RowValues readValues(JsonNode node) {
        return new RowValues(
                readInt(node, "weight"),
                readInt(node, "priority"),
                readDouble(node, "requestsPerSecond"),
                readInt(node, "concurrency"),
                readDouble(node, "tokensPerSecond"),
                readLong(node, "deadlineMillis"),
                readDouble(node, "objectivePercent"),
                readTexts(node, "callerKeyHashes"));
    }

    private static String readText(JsonNode node, String name) {
        String text = node.path(name).textValue();
        if (text == null || text.length() > MAX_TEXT_CHARS) {
            throw new IllegalArgumentException(name + ": Give a string of at most " + MAX_TEXT_CHARS + " characters.");
        }
        return text;
    }

    private static int readInt(JsonNode node, String name) {
        long value = readLong(node, name);
        if (value != (int) value) {
            throw new IllegalArgumentException(name + ": Give a smaller number.");
        }
        return (int) value;
    }

    private static long readLong(JsonNode node, String name) {
        JsonNode value = node.path(name);
        if (!value.isIntegralNumber() || !value.canConvertToLong()) {
            throw new IllegalArgumentException(name + ": Give a whole number.");
        }
        return value.longValue();
    }

    private static double readDouble(JsonNode node, String name) {
        JsonNode value = node.path(name);
        if (!value.isNumber()) {
            throw new IllegalArgumentException(name + ": Give a number.");
        }
        return value.doubleValue();
    }

    private static List<String> readTexts(JsonNode node, String name) {
        JsonNode value = node.path(name);
        if (!value.isArray()) {
            throw new IllegalArgumentException(name + ": Give a list.");
        }
        List<String> texts = new ArrayList<>();
        for (JsonNode element : value) {
            if (!element.isTextual()) {
                throw new IllegalArgumentException(name + ": Give a list of strings.");
            }
            texts.add(element.textValue());
        }
        return texts;
    }
}
