package org.cornelramp.cli.command;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.cornelramp.cli.CliException;
import org.cornelramp.cli.ExitCode;

/** One command. Implementations are stateless. */
public interface Command {

    /** The words that name it, such as {@code table get}. */
    String words();

    /** What follows the words, such as {@code ORGANISATION SERVICE}; empty if nothing does. */
    default String arguments() {
        return "";
    }

    /** What it does, in a line. */
    String summary();

    /** Its options besides those that every command has. */
    default Options options() {
        return new Options();
    }

    /** Runs it; what was asked for goes to the context's output. */
    ExitCode run(Context context, CommandLine line) throws CliException;
}
