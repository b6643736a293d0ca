package org.cornelramp.standins;

import java.util.Arrays;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.ParseException;

/**
 * Runs one stand-in for a service of the platform as a process of its own, for tests and the demo only.
 *
 * <p>The first argument names the kind. Once the stand-in listens, it prints one line {@code ready kind=… port=…}.
 */
public final class Main {
    private static final int USAGE_STATUS = 2;
    private static final List<Command> COMMANDS = List.of(
            new LogCommand(), new VmsCommand(), new EngineCommand(), new ServiceCommand(), new WeightsCommand());

    /** Strong reference: the log manager holds loggers weakly, and a collected logger loses its level. */
    private static final Logger HTTP_LOGGER = Logger.getLogger("org.eclipse.jetty");

    private Main() {}

    /** Runs one stand-in until the process is terminated. */
    public static void main(String[] args) throws Exception {
        HTTP_LOGGER.setLevel(Level.WARNING);
        String name = args.length == 0 ? "" : args[0];
        Command command = COMMANDS.stream()
                .filter(candidate -> candidate.name().equals(name))
                .findFirst()
                .orElse(null);
        if (command == null) {
            System.err.println("The first argument must be one of "
                    + COMMANDS.stream().map(Command::name).toList());
            System.exit(USAGE_STATUS);
            return;
        }
        run(command, Arrays.copyOfRange(args, 1, args.length));
    }

    private static void run(Command command, String[] args) throws Exception {
        try {
            CommandLine commandLine = new DefaultParser().parse(command.options(), args);
            new StandInProcess(command.name(), commandLine.getOptionValue("trace-file")).run(command, commandLine);
        } catch (ParseException | IllegalArgumentException e) {
            System.err.println(command.name() + ": " + e.getMessage());
            System.exit(USAGE_STATUS);
        }
    }
}
