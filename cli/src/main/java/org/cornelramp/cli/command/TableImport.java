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
 * Edits the rows of a file that differ from the table in force. Stateless.
 *
 * <p>A file with any fault edits nothing. Rows that the file lacks stay as they are: a file that was cut short must
 * not delete them.
 */
public final class TableImport implements Command {

    /** What a dry run would do, as JSON. */
    private record Planned(int rows, List<EditDocument> edits) {}

    @Override
    public String words() {
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
        return Edits.options()
                .addOption(Option.builder()
                        .longOpt("dry-run")
                        .desc("tell what would be edited and edit nothing")
                        .get());
    }

    @Override
    public ExitCode run(Context context, CommandLine line) throws CliException {
        String file = Context.argument(line.getArgList(), 0, "the FILE to import");
        List<Row> rows = read(file, Context.readFile(file));
        TableDocument table = context.entries().get("table", TableDocument.class);
        List<EditDocument> edits = differing(rows, table);
        context.progress().println("rows=" + rows.size() + " differ=" + edits.size());
        if (line.hasOption("dry-run")) {
            return dryRun(context, rows, edits);
        }
        return edits.isEmpty() ? ExitCode.DONE : new Edits(context).send(edits, line);
    }

    private static ExitCode dryRun(Context context, List<Row> rows, List<EditDocument> edits) {
        if (context.json()) {
            context.printJson(new Planned(rows.size(), edits));
        } else {
            edits.forEach(edit -> context.out().println("would edit " + edit.key() + " against=" + edit.against()));
        }
        return ExitCode.DONE;
    }

    private static List<Row> read(String file, String text) throws CliException {
        if (file.endsWith(".json")) {
            return readJson(file, text);
        }
        Either<List<CsvFault>, List<TableCsv.CsvRow>> read = TableCsv.read(text);
        if (read.isLeft()) {
            StringBuilder faults = new StringBuilder("the file has faults, nothing was edited; file=" + file);
            read.getLeft().forEach(fault -> faults.append("\n  ").append(fault));
            throw new CliException(ExitCode.USAGE, faults.toString());
        }
        return read.get().stream().map(TableCsv.CsvRow::row).toList();
    }

    private static List<Row> readJson(String file, String text) throws CliException {
        try {
            return Rows.rows(
                    OperatorJson.STRICT.readValue(text, TableDocument.class).rows());
        } catch (JsonProcessingException e) {
            throw new CliException(
                    ExitCode.USAGE,
                    "the file is not as table export --json writes it, nothing was edited; file=" + file + ": "
                            + e.getOriginalMessage());
        }
    }

    private static List<EditDocument> differing(List<Row> rows, TableDocument table) {
        Map<RowKey, RowDocument> inForce = new HashMap<>();
        table.rows().forEach(row -> inForce.put(row.key(), row));
        List<EditDocument> edits = new ArrayList<>();
        for (Row row : rows) {
            RowDocument now = inForce.get(row.key());
            if (now == null || !now.values().equals(Optional.of(row.values()))) {
                edits.add(new EditDocument(
                        row.key().organisation(), row.key().service(), row.version(), Optional.of(row.values())));
            }
        }
        return edits;
    }
}
