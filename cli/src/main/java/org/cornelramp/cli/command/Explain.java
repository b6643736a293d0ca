package org.cornelramp.cli.command;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.cornelramp.cli.CliException;
import org.cornelramp.cli.ExitCode;
import org.cornelramp.cli.text.TextTable;
import org.cornelramp.core.operate.ExplainDocument;

/** Shows the decisions on one request, for each entry that handled it. Stateless. */
public final class Explain implements Command {

    @Override
    public String name() {
        return "explain";
    }

    @Override
    public String arguments() {
        return "REQUEST-ID";
    }

    @Override
    public String summary() {
        return "show the decisions of the entries on one request, with their reasons";
    }

    @Override
    public ExitCode run(CommandContext context, CommandLine line) throws CliException {
        String id =
                CommandContext.argument(line.getArgList(), 0, "the REQUEST-ID from the answer's X-Request-Id header");
        String path = "explain/" + URLEncoder.encode(id, StandardCharsets.UTF_8);
        List<ExplainDocument> found = new ArrayList<>();
        for (String url : context.entryClient().liveEntryUrls()) {
            context.entryClient().getFrom(url, path, ExplainDocument.class).ifPresent(found::add);
        }
        if (context.json()) {
            context.printJson(found);
        } else {
            print(context, found);
        }
        if (found.isEmpty()) {
            context.progress().println("no entry has a record of this request; each keeps the newest few thousand");
            return ExitCode.REFUSED;
        }
        return ExitCode.DONE;
    }

    private static void print(CommandContext context, List<ExplainDocument> found) {
        TextTable table = new TextTable("at", "entry", "step", "facts");
        for (ExplainDocument document : found) {
            document.steps()
                    .forEach(step -> table.add(List.of(
                            Instant.ofEpochMilli(step.at()).toString(), document.entry(), step.step(), step.facts())));
        }
        context.out().print(found.isEmpty() ? "" : table);
    }
}
