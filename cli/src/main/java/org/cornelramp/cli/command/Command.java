package org.cornelramp.cli.command;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.cornelramp.cli.CliException;
import org.cornelramp.cli.ExitCode;

/** One command of the command line. Implementations are stateless. */
public interface Command {

    /** The name, one or two words such as {@code table get}. */
    String name();

    /** The usage of the arguments after the name, such as {@code ORGANISATION SERVICE}; empty if there are none. */
    default String arguments() {
        return "";
    }

    /** A description in one line, for the help text. */
    String summary();

    /** Options of this command, without those that every command has. */
    default Options options() {
        return new Options();
    }

    /** Runs the command and writes its result to the output of the context. */
    ExitCode run(CommandContext context, CommandLine line) throws CliException;
}
