package org.cornelramp.bench;

import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.ServiceLoader;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Runs benchmarks, the demo and the randomised runs; the first argument selects the command. */
public final class Main {
    private static final int USAGE_STATUS = 2;
    private static final String SECONDS = "90";
    private static final String SEED = "1";

    /** Strong reference: the level of a logger is lost when the logger is garbage collected. */
    private static final Logger HTTP_LOGGER = Logger.getLogger("org.eclipse.jetty");

    private Main() {}

    /** Runs a command. */
    public static void main(String[] args) throws Exception {
        HTTP_LOGGER.setLevel(Level.WARNING);
        String name = args.length == 0 ? "" : args[0];
        List<BenchCommand> commands = ServiceLoader.load(BenchCommand.class).stream()
                .map(ServiceLoader.Provider::get)
                .toList();
        BenchCommand command = commands.stream()
                .filter(candidate -> candidate.name().equals(name))
                .findFirst()
                .orElse(null);
        if (command == null) {
            System.err.println(
                    "Name one of: " + commands.stream().map(BenchCommand::name).toList());
            System.exit(USAGE_STATUS);
            return;
        }
        System.exit(run(command, Arrays.copyOfRange(args, 1, args.length)));
    }

    private static int run(BenchCommand command, String[] args) throws Exception {
        Options options = command.options();
        options.addOption(valued("home"));
        options.addOption(valued("seconds"));
        options.addOption(valued("seed"));
        CommandLine line;
        try {
            line = new DefaultParser().parse(options, args);
        } catch (ParseException e) {
            System.err.println(command.name() + ": " + e.getMessage());
            return USAGE_STATUS;
        }
        BenchContext context = new BenchContext(
                Path.of(line.getOptionValue("home", ".")),
                Integer.parseInt(line.getOptionValue("seconds", SECONDS)),
                Long.parseLong(line.getOptionValue("seed", SEED)));
        return command.run(context, line);
    }

    private static Option valued(String name) {
        return Option.builder().longOpt(name).hasArg().get();
    }
}
