package org.cornelramp.standins;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.cornelramp.standins.http.StandIn;

/** One kind of stand-in on the command line. Implementations are stateless. */
interface Command {

    /** Name of the kind, the first argument of the program. */
    String name();

    /** The options of the kind. */
    Options options();

    /** Builds the stand-in. */
    StandIn build(CommandLine line, StandInProcess process);

    /** Options that every kind has. */
    static Options common() {
        return new Options().addOption(valued("port")).addOption(valued("trace-file"));
    }

    /** An option with a value. */
    static Option valued(String name) {
        return Option.builder().longOpt(name).hasArg().get();
    }

    /** The whole number of an option. */
    static long number(CommandLine line, String name, long otherwise) {
        return Long.parseLong(line.getOptionValue(name, Long.toString(otherwise)));
    }

    /** The number of an option. */
    static double decimal(CommandLine line, String name, double otherwise) {
        return Double.parseDouble(line.getOptionValue(name, Double.toString(otherwise)));
    }
}
