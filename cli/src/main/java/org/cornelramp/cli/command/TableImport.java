package org.cornelramp.cli.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.cornelramp.cli.CliException;
import org.cornelramp.cli.ExitCode;
import org.cornelramp.core.operate.EditDocument;
import org.cornelramp.core.operate.OperatorJson;
import org.cornelramp.core.operate.RowDocument;
import org.cornelramp.core.operate.TableDocument;
import org.cornelramp.core.table.CsvFault;
import org.cornelramp.core.table.Row;
import org.cornelramp.core.table.RowKey;
import org.cornelramp.core.table.TableCsv;

/**
 * Sends an edit for each row of a file that differs from the table in force. Stateless.
 *
 * <p>A file with any fault leads to no edit. Rows that the file does not contain stay unchanged, so that a truncated
 * file cannot delete them.
 */
public final class TableImport implements Command {

    /** The result of a dry run, printed as JSON: how many rows the file has, and the edits that would be sent. */
    private record ImportPlan(int rows, List<EditDocument> edits) {}

    @Override
    public String name() {
        return "table import";
    }

    @Override
    public String arguments() {
        return "FILE";
    }

    @Override
    public String summary() {
        return "edit the rows of a CSV or JSON file that differ from the table, each against the version in the file";
    }

    @Override
    public Options options() {
        return EditSender.options()
                .addOption(Option.builder()
                        .longOpt("dry-run")
                        .desc("print the edits without sending them")
                        .get());
    }

    @Override
    public ExitCode run(CommandContext context, CommandLine line) throws CliException {
        String file = CommandContext.argument(line.getArgList(), 0, "the FILE to import");
        List<Row> rows = readRows(file, CommandContext.readFile(file));
        TableDocument table = context.entryClient().get("table", TableDocument.class);
        List<EditDocument> edits = editsForDifferences(rows, table);
        context.progress().println("rows=" + rows.size() + " differ=" + edits.size());
        if (line.hasOption("dry-run")) {
            return dryRun(context, rows, edits);
        }
        return edits.isEmpty() ? ExitCode.DONE : new EditSender(context).send(edits, line);
    }

    private static ExitCode dryRun(CommandContext context, List<Row> rows, List<EditDocument> edits) {
        if (context.json()) {
            context.printJson(new ImportPlan(rows.size(), edits));
        } else {
            edits.forEach(edit -> context.out().println("would edit " + edit.key() + " against=" + edit.against()));
        }
        return ExitCode.DONE;
    }

    private static List<Row> readRows(String file, String text) throws CliException {
        if (file.endsWith(".json")) {
            return readJsonRows(file, text);
        }
        Either<List<CsvFault>, List<TableCsv.CsvRow>> read = TableCsv.read(text);
        if (read.isLeft()) {
            StringBuilder faults = new StringBuilder("the file has faults, nothing was edited; file=" + file);
            read.getLeft().forEach(fault -> faults.append("\n  ").append(fault));
            throw new CliException(ExitCode.USAGE, faults.toString());
        }
        return read.get().stream().map(TableCsv.CsvRow::row).toList();
    }

    private static List<Row> readJsonRows(String file, String text) throws CliException {
        try {
            return Rows.existingRows(
                    OperatorJson.STRICT.readValue(text, TableDocument.class).rows());
        } catch (JsonProcessingException e) {
            throw new CliException(
                    ExitCode.USAGE,
                    "the file is not in the format of table export --json, nothing was edited; file=" + file + ": "
                            + e.getOriginalMessage());
        }
    }

    private static List<EditDocument> editsForDifferences(List<Row> rows, TableDocument table) {
        Map<RowKey, RowDocument> inForce = new HashMap<>();
        table.rows().forEach(row -> inForce.put(row.key(), row));
        List<EditDocument> edits = new ArrayList<>();
        for (Row row : rows) {
            RowDocument current = inForce.get(row.key());
            if (current == null || !current.values().equals(Optional.of(row.values()))) {
                edits.add(new EditDocument(
                        row.key().organisation(), row.key().service(), row.version(), Optional.of(row.values())));
            }
        }
        return edits;
    }
}
