package org.cornelramp.cli.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.cornelramp.cli.CliException;
import org.cornelramp.cli.ExitCode;
import org.cornelramp.core.operate.OperatorJson;
import org.cornelramp.core.operate.TableDocument;
import org.cornelramp.core.table.TableCsv;

/** Writes the table in force to a file, as CSV or JSON. Stateless. */
public final class TableExport implements Command {

    @Override
    public String name() {
        return "table export";
    }

    @Override
    public String arguments() {
        return "[FILE]";
    }

    @Override
    public String summary() {
        return "write the table as CSV, or as JSON with --json, to a file or to standard output";
    }

    @Override
    public ExitCode run(CommandContext context, CommandLine line) throws CliException {
        TableDocument table = context.entryClient().get("table", TableDocument.class);
        String text = context.json() ? toJson(table) : TableCsv.write(Rows.existingRows(table.rows()));
        if (line.getArgList().isEmpty()) {
            context.out().print(text);
        } else {
            writeFile(line.getArgList().get(0), text);
        }
        context.progress()
                .println("offset=" + table.offset() + " rows=" + table.rows().size());
        return ExitCode.DONE;
    }

    private static String toJson(TableDocument table) {
        try {
            return OperatorJson.STRICT.writerWithDefaultPrettyPrinter().writeValueAsString(table) + "\n";
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("The document cannot be written as JSON", e);
        }
    }

    private static void writeFile(String file, String text) throws CliException {
        try {
            Files.writeString(Path.of(file), text);
        } catch (IOException | IllegalArgumentException e) {
            throw new CliException(ExitCode.USAGE, "the file cannot be written, choose another path: " + file);
        }
    }
}
