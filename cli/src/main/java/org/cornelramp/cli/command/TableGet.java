package org.cornelramp.cli.command;

import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.cornelramp.cli.CliException;
import org.cornelramp.cli.ExitCode;
import org.cornelramp.core.operate.RowDocument;
import org.cornelramp.core.operate.TableDocument;
import org.cornelramp.core.table.RowKey;

/** Shows the table in force, or one row. Stateless. */
public final class TableGet implements Command {

    @Override
    public String name() {
        return "table get";
    }

    @Override
    public String arguments() {
        return "[ORGANISATION SERVICE]";
    }

    @Override
    public String summary() {
        return "show the table in force, or one row with the version to edit against";
    }

    @Override
    public ExitCode run(CommandContext context, CommandLine line) throws CliException {
        return line.getArgList().isEmpty()
                ? showTable(context)
                : showRow(context, Rows.keyFromArguments(line.getArgList()));
    }

    private static ExitCode showTable(CommandContext context) throws CliException {
        TableDocument table = context.entryClient().get("table", TableDocument.class);
        if (context.json()) {
            context.printJson(table);
        } else {
            context.out().print(Rows.toTextTable(Rows.existingRows(table.rows())));
            context.progress()
                    .println(
                            "offset=" + table.offset() + " rows=" + table.rows().size());
        }
        return ExitCode.DONE;
    }

    private static ExitCode showRow(CommandContext context, RowKey key) throws CliException {
        RowDocument row = context.entryClient().get("table/" + Rows.urlPath(key), RowDocument.class);
        if (context.json()) {
            context.printJson(row);
        } else if (row.values().isPresent()) {
            context.out().print(Rows.toTextTable(Rows.existingRows(List.of(row))));
        } else {
            context.out().println("no such row; version=" + row.version());
        }
        return row.values().isPresent() ? ExitCode.DONE : ExitCode.REFUSED;
    }
}
