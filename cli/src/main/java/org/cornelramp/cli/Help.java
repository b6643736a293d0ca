package org.cornelramp.cli;

import java.util.List;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.cornelramp.cli.command.Command;
import org.cornelramp.cli.text.TextTable;

/** Formats the help texts. Stateless, safe for use by any thread. */
final class Help {
    private Help() {}

    /** Lists all commands and exit codes. */
    static String allCommands(List<Command> commands) {
        TextTable table = new TextTable("command", "");
        commands.forEach(command -> table.add(List.of(usage(command), command.summary())));
        TextTable codes = new TextTable("exit", "");
        for (ExitCode code : ExitCode.values()) {
            codes.add(List.of(Integer.toString(code.code()), code.description()));
        }
        return "usage: cornelramp COMMAND [ARGUMENT ...] [--help]\n\n" + table + "\n" + codes;
    }

    /** Describes one command and its options. */
    static String oneCommand(Command command, Options options) {
        TextTable table = new TextTable("option", "");
        for (Option option : options.getOptions()) {
            String value = option.hasArg() ? " " + option.getArgName() : "";
            table.add(List.of("--" + option.getLongOpt() + value, option.getDescription()));
        }
        return "usage: cornelramp " + usage(command) + "\n" + command.summary() + "\n\n" + table;
    }

    private static String usage(Command command) {
        return command.arguments().isEmpty() ? command.name() : command.name() + " " + command.arguments();
    }
}
