package org.cornelramp.cli.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.cornelramp.cli.CliException;
import org.cornelramp.cli.ExitCode;
import org.cornelramp.core.operate.EditDocument;
import org.cornelramp.core.operate.OperatorJson;
import org.cornelramp.core.operate.RowDocument;
import org.cornelramp.core.table.ColumnFault;
import org.cornelramp.core.table.RowChecks;
import org.cornelramp.core.table.RowKey;
import org.cornelramp.core.table.RowValues;
import org.cornelramp.core.table.TableRecords;

/** Edits one row, or deletes it. Stateless. */
public final class TableSet implements Command {
    /** Columns of a new row that the operator does not name. */
    private static final RowValues NEW_ROW = new RowValues(1, 5, 0, 0, 0, 10_000, 99, List.of());

    private static final String KEYS = "callerKeyHashes";

    @Override
    public String words() {
        return "table set";
    }

    @Override
    public String arguments() {
        return "ORGANISATION SERVICE [COLUMN=VALUE ...]";
    }

    @Override
    public String summary() {
        return "edit one row, make a new one, or delete it with --delete";
    }

    @Override
    public Options options() {
        return Edits.options()
                .addOption(Option.builder()
                        .longOpt("against")
                        .hasArg()
                        .argName("VERSION")
                        .desc("version that you saw; if not given, the one in force now")
                        .get())
                .addOption(Option.builder()
                        .longOpt("delete")
                        .desc("delete the row")
                        .get());
    }

    @Override
    public ExitCode run(Context context, CommandLine line) throws CliException {
        RowKey key = Rows.key(line.getArgList());
        List<String> changes = line.getArgList().subList(2, line.getArgList().size());
        if (line.hasOption("delete") != changes.isEmpty()) {
            throw new CliException(ExitCode.USAGE, "give COLUMN=VALUE pairs, or --delete alone");
        }
        RowDocument row = context.entries().get("table/" + Rows.path(key), RowDocument.class);
        Optional<RowValues> values = line.hasOption("delete")
                ? Optional.empty()
                : Optional.of(changed(row.values().orElse(NEW_ROW), changes));
        EditDocument edit = new EditDocument(key.organisation(), key.service(), against(line, row), values);
        return new Edits(context).send(List.of(edit), line);
    }

    private static long against(CommandLine line, RowDocument row) throws CliException {
        try {
            return line.hasOption("against") ? Long.parseLong(line.getOptionValue("against")) : row.version();
        } catch (NumberFormatException e) {
            throw new CliException(ExitCode.USAGE, "give --against the version that table get shows");
        }
    }

    private static RowValues changed(RowValues old, List<String> changes) throws CliException {
        ObjectNode node = TableRecords.writeValues(old);
        for (String change : changes) {
            int at = change.indexOf('=');
            String column = at < 0 ? change : change.substring(0, at);
            if (at < 0 || !node.has(column)) {
                throw new CliException(
                        ExitCode.USAGE, "no column reads " + column + "; give COLUMN=VALUE, as table get names them");
            }
            put(node, column, change.substring(at + 1));
        }
        return checked(node);
    }

    private static void put(ObjectNode node, String column, String text) throws CliException {
        try {
            if (column.equals(KEYS)) {
                node.putArray(KEYS);
                for (String hash : text.trim().split("[ ,]+", -1)) {
                    if (!hash.isEmpty()) {
                        node.withArray(KEYS).add(hash);
                    }
                }
                return;
            }
            node.set(column, OperatorJson.STRICT.readTree(text));
        } catch (JsonProcessingException e) {
            throw new CliException(ExitCode.USAGE, column + ": Give a number.");
        }
    }

    private static RowValues checked(ObjectNode node) throws CliException {
        try {
            RowValues values = TableRecords.readValues(node);
            List<ColumnFault> faults = RowChecks.validate(values);
            if (!faults.isEmpty()) {
                throw new CliException(
                        ExitCode.USAGE,
                        String.join(
                                "; ", faults.stream().map(ColumnFault::toString).toList()));
            }
            return values;
        } catch (IllegalArgumentException e) {
            throw new CliException(ExitCode.USAGE, e.getMessage());
        }
    }
}
