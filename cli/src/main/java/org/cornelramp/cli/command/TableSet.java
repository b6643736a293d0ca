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

/** Creates, edits or deletes one row. Stateless. */
public final class TableSet implements Command {
    /** Values of those columns of a new row that the operator does not set. */
    private static final RowValues NEW_ROW_DEFAULTS = new RowValues(1, 5, 0, 0, 0, 10_000, 99, List.of());

    private static final String KEY_HASHES_COLUMN = "callerKeyHashes";

    @Override
    public String name() {
        return "table set";
    }

    @Override
    public String arguments() {
        return "ORGANISATION SERVICE [COLUMN=VALUE ...]";
    }

    @Override
    public String summary() {
        return "edit or create one row, or delete it with --delete";
    }

    @Override
    public Options options() {
        return EditSender.options()
                .addOption(Option.builder()
                        .longOpt("against")
                        .hasArg()
                        .argName("VERSION")
                        .desc("version that the edit is based on; default: the version in force")
                        .get())
                .addOption(Option.builder()
                        .longOpt("delete")
                        .desc("delete the row")
                        .get());
    }

    @Override
    public ExitCode run(CommandContext context, CommandLine line) throws CliException {
        RowKey key = Rows.keyFromArguments(line.getArgList());
        List<String> changes = line.getArgList().subList(2, line.getArgList().size());
        if (line.hasOption("delete") != changes.isEmpty()) {
            throw new CliException(ExitCode.USAGE, "give COLUMN=VALUE pairs, or --delete alone");
        }
        RowDocument row = context.entryClient().get("table/" + Rows.urlPath(key), RowDocument.class);
        Optional<RowValues> values = line.hasOption("delete")
                ? Optional.empty()
                : Optional.of(withChanges(row.values().orElse(NEW_ROW_DEFAULTS), changes));
        EditDocument edit = new EditDocument(key.organisation(), key.service(), versionToEdit(line, row), values);
        return new EditSender(context).send(List.of(edit), line);
    }

    private static long versionToEdit(CommandLine line, RowDocument row) throws CliException {
        try {
            return line.hasOption("against") ? Long.parseLong(line.getOptionValue("against")) : row.version();
        } catch (NumberFormatException e) {
            throw new CliException(ExitCode.USAGE, "give --against the version that table get shows");
        }
    }

    private static RowValues withChanges(RowValues old, List<String> changes) throws CliException {
        ObjectNode node = TableRecords.writeValues(old);
        for (String change : changes) {
            int separator = change.indexOf('=');
            String column = separator < 0 ? change : change.substring(0, separator);
            if (separator < 0 || !node.has(column)) {
                throw new CliException(
                        ExitCode.USAGE,
                        "unknown or incomplete column " + column
                                + "; give COLUMN=VALUE with a column that table get shows");
            }
            setColumn(node, column, change.substring(separator + 1));
        }
        return readAndValidate(node);
    }

    private static void setColumn(ObjectNode node, String column, String text) throws CliException {
        try {
            if (column.equals(KEY_HASHES_COLUMN)) {
                node.putArray(KEY_HASHES_COLUMN);
                for (String hash : text.trim().split("[ ,]+", -1)) {
                    if (!hash.isEmpty()) {
                        node.withArray(KEY_HASHES_COLUMN).add(hash);
                    }
                }
                return;
            }
            node.set(column, OperatorJson.STRICT.readTree(text));
        } catch (JsonProcessingException e) {
            throw new CliException(ExitCode.USAGE, column + ": Give a number.");
        }
    }

    private static RowValues readAndValidate(ObjectNode node) throws CliException {
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
