package org.cornelramp.standins;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.cornelramp.standins.http.StandIn;
import org.cornelramp.standins.log.LogStandIn;

/** Builds the stand-in for the log service from its options. Stateless. */
final class LogCommand implements Command {
    private static final double DEFAULT_APPENDS_PER_SECOND = 400;

    @Override
    public String name() {
        return "log";
    }

    @Override
    public Options options() {
        return Command.commonOptions()
                .addOption(Command.optionWithValue("retention-millis"))
                .addOption(Command.optionWithValue("appends-per-second"));
    }

    @Override
    public StandIn build(CommandLine commandLine, StandInProcess process) {
        return new LogStandIn(
                process.faults(),
                process.clock(),
                process.timer(),
                Command.longValue(commandLine, "retention-millis", 0),
                Command.doubleValue(commandLine, "appends-per-second", DEFAULT_APPENDS_PER_SECOND));
    }
}
