package org.cornelramp.standins;

import java.util.Arrays;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.ParseException;

/**
 * Small stand-ins for the platform, each a process of its own, for tests and the demo only.
 *
 * <p>The first argument names the kind; once it listens, one line {@code ready kind=… port=…} goes to the output.
 */
public final class Main {
    private static final int USAGE_STATUS = 2;
    private static final List<Command> COMMANDS = List.of(
            new LogCommand(), new VmsCommand(), new EngineCommand(), new ServiceCommand(), new WeightsCommand());

    /** Held here, since a logger that nobody holds forgets its level. */
    private static final Logger HTTP_LOGGER = Logger.getLogger("org.eclipse.jetty");

    private Main() {}

    /** Runs one stand-in until the process is ended. */
    public static void main(String[] args) throws Exception {
        HTTP_LOGGER.setLevel(Level.WARNING);
        String name = args.length == 0 ? "" : args[0];
        Command command = COMMANDS.stream()
                .filter(candidate -> candidate.name().equals(name))
                .findFirst()
                .orElse(null);
        if (command == null) {
            System.err.println(
                    "Name one of: " + COMMANDS.stream().map(Command::name).toList());
            System.exit(USAGE_STATUS);
            return;
        }
        run(command, Arrays.copyOfRange(args, 1, args.length));
    }

    private static void run(Command command, String[] args) throws Exception {
        try {
            CommandLine line = new DefaultParser().parse(command.options(), args);
            new StandInProcess(command.name(), line.getOptionValue("trace-file")).run(command, line);
        } catch (ParseException | IllegalArgumentException e) {
            System.err.println(command.name() + ": " + e.getMessage());
            System.exit(USAGE_STATUS);
        }
    }
}
