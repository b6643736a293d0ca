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
    public String words() {
        return "table export";
    }

    @Override
    public String arguments() {
        return "[FILE]";
    }

    @Override
    public String summary() {
        return "write the table as CSV, or as JSON with --json, to a file or the output";
    }

    @Override
    public ExitCode run(Context context, CommandLine line) throws CliException {
        TableDocument table = context.entries().get("table", TableDocument.class);
        String text = context.json() ? json(table) : TableCsv.write(Rows.rows(table.rows()));
        if (line.getArgList().isEmpty()) {
            context.out().print(text);
        } else {
            write(line.getArgList().get(0), text);
        }
        context.progress()
                .println("offset=" + table.offset() + " rows=" + table.rows().size());
        return ExitCode.DONE;
    }

    private static String json(TableDocument table) {
        try {
            return OperatorJson.STRICT.writerWithDefaultPrettyPrinter().writeValueAsString(table) + "\n";
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("A document always has a JSON form", e);
        }
    }

    private static void write(String file, String text) throws CliException {
        try {
            Files.writeString(Path.of(file), text);
        } catch (IOException | IllegalArgumentException e) {
            throw new CliException(ExitCode.USAGE, "the file cannot be written, choose another path: " + file);
        }
    }
}
