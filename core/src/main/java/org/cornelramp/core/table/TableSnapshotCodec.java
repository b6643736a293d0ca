package org.cornelramp.core.table;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;
import org.cornelramp.core.model.OrganisationId;
import org.cornelramp.core.model.ServiceName;

/**
 * Writes a table to bytes and reads it back: gzipped JSON, for snapshot records on the log and for peers.
 *
 * <p>The bytes hold either the whole table or what changed at and above an offset. A change set may be applied to
 * any table at or above that offset: it names the state of each changed row, not the steps to it, so applying it
 * twice or to a newer base gives the same table. Stateless, safe for use by any thread.
 */
public final class TableSnapshotCodec {
    /** Largest size of a snapshot once unpacked, in bytes; one that is larger is refused, not read. */
    public static final int MAX_BYTES = 64 << 20;

    private static final ObjectMapper JSON = new ObjectMapper();

    private TableSnapshotCodec() {}

    /** Writes the whole table. */
    public static byte[] write(FoldedTable table) {
        return writeAbove(table, 0);
    }

    /** Writes what changed at and above an offset; the whole table for offset 0. */
    public static byte[] writeAbove(FoldedTable table, long above) {
        ObjectNode root = JSON.createObjectNode();
        root.put("offset", table.offset());
        root.put("above", above);
        ArrayNode rows = root.putArray("rows");
        for (Row row : table.rows()) {
            if (row.version() >= above) {
                ObjectNode node = writeKey(rows.addObject(), row.key(), row.version());
                node.set("values", TableRecords.writeValues(row.values()));
            }
        }
        ArrayNode deleted = root.putArray("deleted");
        table.deletions().forEach((key, version) -> {
            if (version >= above) {
                writeKey(deleted.addObject(), key, version);
            }
        });
        return pack(root);
    }

    /**
     * Reads a table.
     *
     * @param base table that a change set is applied to
     * @return the table, or why the bytes cannot be taken
     */
    public static Either<String, FoldedTable> read(FoldedTable base, byte[] bytes) {
        try {
            return readRoot(base, unpack(bytes));
        } catch (IOException | IllegalArgumentException e) {
            return Either.left("The snapshot is not in the agreed form; take one from another peer.");
        }
    }

    private static Either<String, FoldedTable> readRoot(FoldedTable base, JsonNode root) {
        long offset = whole(root, "offset");
        long above = whole(root, "above");
        if (above > base.offset()) {
            return Either.left("The snapshot starts above the table in force; ask for one from its offset.");
        }
        if (above != 0 && offset < base.offset()) {
            return Either.right(base);
        }
        FoldedTable table = above == 0 ? FoldedTable.empty() : base;
        Interner interner = new Interner();
        List<Row> rows = readRows(interner, root, offset);
        // A caller key may have moved from one changed row to another, so all old states go first.
        for (Row row : rows) {
            table = table.without(row.key());
        }
        for (JsonNode node : root.path("deleted")) {
            table = table.withDeletion(readKey(interner, node), version(node, offset));
        }
        for (Row row : rows) {
            table = table.with(row);
        }
        return Either.right(table.at(offset));
    }

    private static List<Row> readRows(Interner interner, JsonNode root, long offset) {
        List<Row> rows = new ArrayList<>();
        for (JsonNode node : root.path("rows")) {
            RowValues values = TableRecords.readValues(node.path("values"));
            if (!RowChecks.check(values).isEmpty()) {
                throw new IllegalArgumentException("A row in force has values in their ranges");
            }
            rows.add(new Row(readKey(interner, node), version(node, offset), interner.values(values)));
        }
        return rows;
    }

    private static ObjectNode writeKey(ObjectNode node, RowKey key, long version) {
        node.put("organisation", key.organisation().value());
        node.put("service", key.service().value());
        node.put("version", version);
        return node;
    }

    private static RowKey readKey(Interner interner, JsonNode node) {
        return new RowKey(
                interner.organisation(
                        new OrganisationId(node.path("organisation").textValue())),
                interner.service(new ServiceName(node.path("service").textValue())));
    }

    private static long version(JsonNode node, long offset) {
        long version = whole(node, "version");
        if (version < 0 || version >= offset) {
            throw new IllegalArgumentException("A version lies below the table's offset");
        }
        return version;
    }

    private static long whole(JsonNode node, String name) {
        JsonNode value = node.path(name);
        if (!value.isIntegralNumber() || !value.canConvertToLong() || value.longValue() < 0) {
            throw new IllegalArgumentException(name + " is not a whole number");
        }
        return value.longValue();
    }

    private static byte[] pack(ObjectNode root) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (GZIPOutputStream gzip = new GZIPOutputStream(bytes)) {
            gzip.write(JSON.writeValueAsBytes(root));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("A table always has a JSON form", e);
        } catch (IOException e) {
            throw new UncheckedIOException("Writing to memory does not fail", e);
        }
        return bytes.toByteArray();
    }

    /** Bounds what a small packed message may unpack to, which could otherwise take all memory. */
    private static JsonNode unpack(byte[] bytes) throws IOException {
        try (GZIPInputStream gzip = new GZIPInputStream(new ByteArrayInputStream(bytes))) {
            byte[] plain = gzip.readNBytes(MAX_BYTES + 1);
            if (plain.length > MAX_BYTES) {
                throw new IOException("The snapshot is too large");
            }
            JsonNode root = JSON.readTree(plain);
            if (!root.isObject()) {
                throw new IOException("The snapshot is no object");
            }
            return root;
        }
    }
}
