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
import org.cornelramp.cli.log.RequestStory;
import org.cornelramp.cli.text.TextTable;

/** Tells from the gateways' logs what became of one request, and why. Stateless. */
public final class LogExplain implements Command {

    @Override
    public String words() {
        return "log explain";
    }

    @Override
    public String arguments() {
        return "REQUEST-ID FILE...";
    }

    @Override
    public String summary() {
        return "tell from log files of the gateways what became of one request, and why";
    }

    @Override
    public ExitCode run(Context context, CommandLine line) throws CliException {
        List<String> arguments = line.getArgList();
        String id = Context.argument(arguments, 0, "the REQUEST-ID that the client sent");
        Context.argument(arguments, 1, "one FILE or more with the output of the gateways");
        List<LogLine> log = new ArrayList<>();
        for (String file : arguments.subList(1, arguments.size())) {
            read(Path.of(file), log);
        }
        RequestStory story = RequestStory.of(id, log);
        if (story.lines().isEmpty()) {
            context.progress().println("the logs do not name this request; ordinary lines are sampled under load");
            return ExitCode.REFUSED;
        }
        print(context, story);
        return ExitCode.DONE;
    }

    private static void read(Path file, List<LogLine> log) throws CliException {
        try (Stream<String> lines = Files.lines(file, StandardCharsets.UTF_8)) {
            lines.forEach(text -> LogLine.parse(text).ifPresent(log::add));
        } catch (IOException e) {
            throw new CliException(ExitCode.USAGE, file + " cannot be read, correct its path or rights; " + e);
        }
    }

    private static void print(Context context, RequestStory story) {
        long begin = story.lines().get(0).millis();
        TextTable table = new TextTable("ms", "gateway", "what", "facts");
        for (LogLine line : story.lines()) {
            table.add(List.of(
                    Long.toString(line.millis() - begin),
                    line.process(),
                    line.part() + ": " + line.event(),
                    line.facts()));
        }
        context.out().print(table);
        context.out().println(story.cause().map(cause -> "cause: " + cause).orElse("it was served"));
    }
}
