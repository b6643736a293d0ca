package org.cornelramp.standins;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.cornelramp.standins.http.StandIn;

/** Command-line definition of one kind of stand-in. Implementations are stateless. */
interface Command {

    /** Name of the kind, given as the first argument of the program. */
    String name();

    /** Options that this kind accepts, including the common ones. */
    Options options();

    /** Builds the stand-in from the parsed options. */
    StandIn build(CommandLine commandLine, StandInProcess process);

    /** Options that every kind accepts. */
    static Options commonOptions() {
        return new Options().addOption(optionWithValue("port")).addOption(optionWithValue("trace-file"));
    }

    /** A long option that takes a value. */
    static Option optionWithValue(String name) {
        return Option.builder().longOpt(name).hasArg().get();
    }

    /** Value of an option as an integer; the default if the option is absent. */
    static long longValue(CommandLine commandLine, String name, long defaultValue) {
        return Long.parseLong(commandLine.getOptionValue(name, Long.toString(defaultValue)));
    }

    /** Value of an option as a decimal number; the default if the option is absent. */
    static double doubleValue(CommandLine commandLine, String name, double defaultValue) {
        return Double.parseDouble(commandLine.getOptionValue(name, Double.toString(defaultValue)));
    }
}
