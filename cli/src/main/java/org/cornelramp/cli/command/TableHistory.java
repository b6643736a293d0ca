package org.cornelramp.cli.command;

import java.time.Instant;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.cornelramp.cli.CliException;
import org.cornelramp.cli.ExitCode;
import org.cornelramp.cli.text.TextTable;
import org.cornelramp.core.operate.HistoryDocument;
import org.cornelramp.core.table.TableRecords;

/** Shows the edits of a row that the log still retains. Stateless. */
public final class TableHistory implements Command {

    @Override
    public String name() {
        return "table history";
    }

    @Override
    public String arguments() {
        return "ORGANISATION SERVICE";
    }

    @Override
    public String summary() {
        return "show a row's edits, accepted and rejected, as far as the log keeps them";
    }

    @Override
    public ExitCode run(CommandContext context, CommandLine line) throws CliException {
        HistoryDocument history = context.entryClient()
                .get("history/" + Rows.urlPath(Rows.keyFromArguments(line.getArgList())), HistoryDocument.class);
        if (context.json()) {
            context.printJson(history);
            return ExitCode.DONE;
        }
        TextTable table = new TextTable("offset", "at", "by", "against", "verdict", "id", "values");
        for (HistoryDocument.HistoryEdit edit : history.edits()) {
            table.add(List.of(
                    Long.toString(edit.offset()),
                    Instant.ofEpochMilli(edit.at()).toString(),
                    edit.by(),
                    Long.toString(edit.against()),
                    edit.accepted() ? "accepted" : "rejected",
                    edit.id(),
                    edit.values()
                            .map(values -> TableRecords.writeValues(values).toString())
                            .orElse("deleted")));
        }
        context.out().print(table);
        context.progress().println("the log keeps records from " + history.oldest() + " on");
        return ExitCode.DONE;
    }
}
