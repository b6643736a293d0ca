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

/** What the table's commands share about rows. Stateless, safe for use by any thread. */
final class Rows {
    /** Characters of a key hash that are shown; enough to tell keys apart. */
    private static final int SHOWN_HASH = 8;

    private Rows() {}

    /** The row that the first two arguments name. */
    static RowKey key(List<String> arguments) throws CliException {
        try {
            return new RowKey(
                    new OrganisationId(Context.argument(arguments, 0, "ORGANISATION")),
                    new ServiceName(Context.argument(arguments, 1, "SERVICE")));
        } catch (IllegalArgumentException e) {
            throw new CliException(ExitCode.USAGE, e.getMessage());
        }
    }

    /** Path of a row below an endpoint. */
    static String path(RowKey key) {
        return key.organisation().value() + "/" + key.service().value();
    }

    /** The rows that are there. */
    static List<Row> rows(List<RowDocument> documents) {
        List<Row> rows = new ArrayList<>();
        for (RowDocument document : documents) {
            document.values().ifPresent(values -> rows.add(new Row(document.key(), document.version(), values)));
        }
        return rows;
    }

    /** The rows as a text table, key hashes cut short. */
    static String text(List<Row> rows) {
        TextTable table = new TextTable(TableCsv.COLUMNS.toArray(new String[0]));
        for (Row row : rows) {
            List<String> fields = new ArrayList<>(TableCsv.fields(row));
            fields.set(fields.size() - 1, shortHashes(row.values().callerKeyHashes()));
            table.add(fields);
        }
        return table.toString();
    }

    private static String shortHashes(List<String> hashes) {
        return String.join(
                " ",
                hashes.stream().map(hash -> hash.substring(0, SHOWN_HASH) + "…").toList());
    }
}
