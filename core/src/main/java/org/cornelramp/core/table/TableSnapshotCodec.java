package org.cornelramp.core.table;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;
import org.cornelramp.core.model.OrganisationId;
import org.cornelramp.core.model.ServiceName;

/**
 * Encodes a table as gzipped JSON and decodes it, for snapshot records on the log and for peers.
 *
 * <p>The bytes contain either the whole table or the changes at and above an offset. A change set may be applied to
 * any table at or above that offset: it has the final state of each changed row, so applying it twice or to a newer
 * base results in the same table. Rows are written and read one by one, since the JSON tree of a large table would not
 * fit into the memory of an agent. Stateless, safe for use by any thread.
 */
public final class TableSnapshotCodec {
    /** Maximum decompressed size of a snapshot, in bytes; a small compressed message could otherwise exhaust memory. */
    public static final int MAX_BYTES = 64 << 20;

    private static final ObjectMapper JSON = new ObjectMapper(JsonFactory.builder()
            .streamReadConstraints(
                    StreamReadConstraints.builder().maxDocumentLength(MAX_BYTES).build())
            .build());

    private TableSnapshotCodec() {}

    /** Writes the whole table. */
    public static byte[] write(FoldedTable table) {
        return writeChangesSince(table, 0);
    }

    /** Writes the changes at and above an offset; the whole table for offset 0. */
    public static byte[] writeChangesSince(FoldedTable table, long above) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator out = JSON.createGenerator(new GZIPOutputStream(bytes))) {
            out.writeStartObject();
            out.writeNumberField("offset", table.offset());
            out.writeNumberField("above", above);
            out.writeArrayFieldStart("rows");
            for (Row row : table.rows()) {
                if (row.version() >= above) {
                    ObjectNode node = keyNode(row.key(), row.version());
                    node.set("values", TableRecords.writeValues(row.values()));
                    out.writeTree(node);
                }
            }
            out.writeEndArray();
            out.writeArrayFieldStart("deleted");
            for (Map.Entry<RowKey, Long> deletion : table.deletions().entrySet()) {
                if (deletion.getValue() >= above) {
                    out.writeTree(keyNode(deletion.getKey(), deletion.getValue()));
                }
            }
            out.writeEndArray();
            out.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException("Writing a snapshot to memory failed", e);
        }
        return bytes.toByteArray();
    }

    /**
     * Reads a table.
     *
     * @param base table that a change set is applied to
     * @return the table, or why the bytes are rejected
     */
    public static Either<String, FoldedTable> read(FoldedTable base, byte[] bytes) {
        try {
            return apply(base, parse(bytes));
        } catch (IOException | IllegalArgumentException e) {
            return Either.left("The snapshot is malformed; request one from another peer.");
        }
    }

    /** Decoded contents of a snapshot. Confined to one thread. */
    private static final class SnapshotContent {
        private final Interner interner = new Interner();
        private final List<Row> rows = new ArrayList<>();
        private final Map<RowKey, Long> deletions = new LinkedHashMap<>();
        private long offset = -1;
        private long since = -1;

        void addRow(JsonNode node) {
            RowValues values = TableRecords.readValues(node.path("values"));
            if (!RowChecks.validate(values).isEmpty()) {
                throw new IllegalArgumentException("A row has values out of their ranges");
            }
            rows.add(new Row(key(node), readLong(node.path("version")), interner.values(values)));
        }

        void addDeletion(JsonNode node) {
            deletions.put(key(node), readLong(node.path("version")));
        }

        private RowKey key(JsonNode node) {
            return new RowKey(
                    interner.organisation(
                            new OrganisationId(node.path("organisation").textValue())),
                    interner.service(new ServiceName(node.path("service").textValue())));
        }

        boolean isConsistent() {
            boolean hasOffsets = offset >= 0 && since >= 0;
            return hasOffsets
                    && rows.stream().allMatch(row -> row.version() < offset)
                    && deletions.values().stream().allMatch(version -> version < offset);
        }
    }

    /** Callback for each element of an array. */
    private interface ElementHandler {
        void accept(JsonNode node);
    }

    private static SnapshotContent parse(byte[] bytes) throws IOException {
        SnapshotContent content = new SnapshotContent();
        try (JsonParser in = JSON.createParser(new GZIPInputStream(new ByteArrayInputStream(bytes)))) {
            require(in.nextToken() == JsonToken.START_OBJECT);
            while (in.nextToken() == JsonToken.FIELD_NAME) {
                String name = in.currentName();
                in.nextToken();
                switch (name) {
                    case "offset" -> content.offset = readLong(in.readValueAsTree());
                    case "above" -> content.since = readLong(in.readValueAsTree());
                    case "rows" -> readArray(in, content::addRow);
                    case "deleted" -> readArray(in, content::addDeletion);
                    default -> in.skipChildren();
                }
            }
            require(in.currentToken() == JsonToken.END_OBJECT);
            // The gzip checksum follows the last byte, so the stream must be read to its end.
            require(in.nextToken() == null);
        }
        require(content.isConsistent());
        return content;
    }

    private static void readArray(JsonParser in, ElementHandler element) throws IOException {
        require(in.currentToken() == JsonToken.START_ARRAY);
        while (in.nextToken() != JsonToken.END_ARRAY) {
            require(in.currentToken() == JsonToken.START_OBJECT);
            element.accept(in.readValueAsTree());
        }
    }

    private static Either<String, FoldedTable> apply(FoldedTable base, SnapshotContent content) {
        if (content.since > base.offset()) {
            return Either.left("The change set starts above the offset of the table; request one from that offset.");
        }
        if (content.since != 0 && content.offset < base.offset()) {
            return Either.right(base);
        }
        FoldedTable table = content.since == 0 ? FoldedTable.empty() : base;
        // A caller key may have moved from one changed row to another, so all old rows are removed first.
        for (Row row : content.rows) {
            table = table.without(row.key());
        }
        for (Map.Entry<RowKey, Long> deletion : content.deletions.entrySet()) {
            table = table.withDeletion(deletion.getKey(), deletion.getValue());
        }
        for (Row row : content.rows) {
            table = table.with(row);
        }
        return Either.right(table.atOffset(content.offset));
    }

    private static ObjectNode keyNode(RowKey key, long version) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("organisation", key.organisation().value());
        node.put("service", key.service().value());
        node.put("version", version);
        return node;
    }

    private static long readLong(JsonNode value) {
        if (value == null || !value.isIntegralNumber() || !value.canConvertToLong() || value.longValue() < 0) {
            throw new IllegalArgumentException("Not a whole number");
        }
        return value.longValue();
    }

    private static void require(boolean condition) {
        if (!condition) {
            throw new IllegalArgumentException("Malformed snapshot");
        }
    }
}
