package org.cornelramp.cli.command;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.cornelramp.cli.CliException;
import org.cornelramp.cli.ExitCode;
import org.cornelramp.cli.text.BurnPlot;
import org.cornelramp.cli.text.TextTable;
import org.cornelramp.core.burn.BurnReport;
import org.cornelramp.core.burn.BurnRow;
import org.cornelramp.core.burn.BurnWindow;
import org.cornelramp.core.operate.BurnDocument;

/** Shows the service-level burn rates over all entries, as text and optionally as a plot. Stateless. */
public final class ReportBurn implements Command {

    @Override
    public String name() {
        return "report burn";
    }

    @Override
    public String summary() {
        return "show service-level burn rates for each organisation and service over several windows";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(Option.builder()
                        .longOpt("plot")
                        .hasArg()
                        .argName("FILE")
                        .desc("write a plot of the most urgent rows as PNG")
                        .get());
    }

    @Override
    public ExitCode run(CommandContext context, CommandLine line) throws CliException {
        List<BurnDocument> documents = new ArrayList<>();
        List<String> unanswered = new ArrayList<>();
        for (String url : context.entryClient().liveEntryUrls()) {
            context.entryClient()
                    .getFrom(url, "burn", BurnDocument.class)
                    .ifPresentOrElse(documents::add, () -> unanswered.add(url));
        }
        BurnReport report =
                BurnReport.merge(documents.stream().map(BurnDocument::rows).toList());
        if (context.json()) {
            context.printJson(report);
        } else {
            context.out().print(toTextTable(report));
        }
        printRemarks(context, documents, unanswered);
        if (line.hasOption("plot")) {
            BurnPlot.write(report, line.getOptionValue("plot"));
        }
        return unanswered.isEmpty() ? ExitCode.DONE : ExitCode.UNREACHABLE;
    }

    private static String toTextTable(BurnReport report) {
        TextTable table = new TextTable(
                "organisation", "service", "objective%", "5m", "1h", "6h", "3d", "requests3d", "bad3d", "alert");
        for (BurnRow row : report.rows()) {
            List<String> fields = new ArrayList<>(List.of(
                    row.organisation().value(), row.service().value(), Double.toString(row.objectivePercent())));
            for (BurnWindow window : BurnWindow.values()) {
                fields.add(String.format(Locale.ROOT, "%.2f", row.rate(window)));
            }
            fields.add(Long.toString(row.counts(BurnWindow.THREE_DAYS).total()));
            fields.add(Long.toString(row.counts(BurnWindow.THREE_DAYS).bad()));
            fields.add(row.alert().text());
            table.add(fields);
        }
        return table.toString();
    }

    private static void printRemarks(CommandContext context, List<BurnDocument> documents, List<String> unanswered) {
        for (BurnDocument document : documents) {
            String uncounted = document.uncounted() == 0 ? "" : " uncounted=" + document.uncounted();
            context.progress()
                    .println("entry " + document.entry() + " counts since " + Instant.ofEpochMilli(document.since())
                            + uncounted);
        }
        unanswered.forEach(url ->
                context.progress().println("no answer from " + url + "; its requests are missing from the report"));
    }
}
