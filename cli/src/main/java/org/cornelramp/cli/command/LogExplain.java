package org.cornelramp.cli.command;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.apache.commons.cli.CommandLine;
import org.cornelramp.cli.CliException;
import org.cornelramp.cli.ExitCode;
import org.cornelramp.cli.log.LogLine;
import org.cornelramp.cli.log.RequestExplanation;
import org.cornelramp.cli.text.TextTable;

/** Explains the outcome of one request from the gateways' logs. Stateless. */
public final class LogExplain implements Command {

    @Override
    public String name() {
        return "log explain";
    }

    @Override
    public String arguments() {
        return "REQUEST-ID FILE...";
    }

    @Override
    public String summary() {
        return "explain the outcome of one request from log files of the gateways";
    }

    @Override
    public ExitCode run(CommandContext context, CommandLine line) throws CliException {
        List<String> arguments = line.getArgList();
        String id = CommandContext.argument(arguments, 0, "the REQUEST-ID that the client sent");
        CommandContext.argument(arguments, 1, "one FILE or more with the output of the gateways");
        List<LogLine> log = new ArrayList<>();
        for (String file : arguments.subList(1, arguments.size())) {
            readLines(Path.of(file), log);
        }
        RequestExplanation explanation = RequestExplanation.of(id, log);
        if (explanation.lines().isEmpty()) {
            context.progress().println("the logs do not contain this request; under load, ordinary lines are sampled");
            return ExitCode.REFUSED;
        }
        print(context, explanation);
        return ExitCode.DONE;
    }

    private static void readLines(Path file, List<LogLine> log) throws CliException {
        try (Stream<String> lines = Files.lines(file, StandardCharsets.UTF_8)) {
            lines.forEach(text -> LogLine.parse(text).ifPresent(log::add));
        } catch (IOException e) {
            throw new CliException(ExitCode.USAGE, file + " cannot be read, correct its path or permissions; " + e);
        }
    }

    private static void print(CommandContext context, RequestExplanation explanation) {
        long begin = explanation.lines().get(0).timeMillis();
        TextTable table = new TextTable("ms", "gateway", "what", "facts");
        for (LogLine line : explanation.lines()) {
            table.add(List.of(
                    Long.toString(line.timeMillis() - begin),
                    line.process(),
                    line.part() + ": " + line.event(),
                    line.facts()));
        }
        context.out().print(table);
        context.out()
                .println(explanation.cause().map(cause -> "cause: " + cause).orElse("the request was served"));
    }
}
