package org.cornelramp.cli.command;

import java.util.ArrayList;
import java.util.List;
import org.cornelramp.cli.CliException;
import org.cornelramp.cli.ExitCode;
import org.cornelramp.cli.text.TextTable;
import org.cornelramp.core.model.OrganisationId;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.core.operate.RowDocument;
import org.cornelramp.core.table.Row;
import org.cornelramp.core.table.RowKey;
import org.cornelramp.core.table.TableCsv;

/**
 * Helpers of the table commands: row keys from arguments, paths and text of rows. Stateless, safe for use by any
 * thread.
 */
final class Rows {
    /** How many leading characters of a key hash are shown; enough to distinguish keys. */
    private static final int SHOWN_HASH_CHARACTERS = 8;

    private Rows() {}

    /** The key of the row that the first two arguments name. */
    static RowKey keyFromArguments(List<String> arguments) throws CliException {
        try {
            return new RowKey(
                    new OrganisationId(CommandContext.argument(arguments, 0, "ORGANISATION")),
                    new ServiceName(CommandContext.argument(arguments, 1, "SERVICE")));
        } catch (IllegalArgumentException e) {
            throw new CliException(ExitCode.USAGE, e.getMessage());
        }
    }

    /** The path of a row, relative to the path of an endpoint. */
    static String urlPath(RowKey key) {
        return key.organisation().value() + "/" + key.service().value();
    }

    /** The rows of the documents that have values; a document without values stands for a row that does not exist. */
    static List<Row> existingRows(List<RowDocument> documents) {
        List<Row> rows = new ArrayList<>();
        for (RowDocument document : documents) {
            document.values().ifPresent(values -> rows.add(new Row(document.key(), document.version(), values)));
        }
        return rows;
    }

    /** The rows as a text table, with abbreviated key hashes. */
    static String toTextTable(List<Row> rows) {
        TextTable table = new TextTable(TableCsv.COLUMNS.toArray(new String[0]));
        for (Row row : rows) {
            List<String> fields = new ArrayList<>(TableCsv.fields(row));
            fields.set(fields.size() - 1, abbreviatedHashes(row.values().callerKeyHashes()));
            table.add(fields);
        }
        return table.toString();
    }

    private static String abbreviatedHashes(List<String> hashes) {
        return String.join(
                " ",
                hashes.stream()
                        .map(hash -> hash.substring(0, SHOWN_HASH_CHARACTERS) + "…")
                        .toList());
    }
}
