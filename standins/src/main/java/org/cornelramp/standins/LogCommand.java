package org.cornelramp.standins;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.cornelramp.standins.http.StandIn;
import org.cornelramp.standins.log.LogStandIn;

/** Builds the log service from its options. Stateless. */
final class LogCommand implements Command {
    private static final double APPENDS_PER_SECOND = 400;

    @Override
    public String name() {
        return "log";
    }

    @Override
    public Options options() {
        return Command.common()
                .addOption(Command.valued("retention-millis"))
                .addOption(Command.valued("appends-per-second"));
    }

    @Override
    public StandIn build(CommandLine line, StandInProcess process) {
        return new LogStandIn(
                process.faults(),
                process.clock(),
                process.timer(),
                Command.number(line, "retention-millis", 0),
                Command.decimal(line, "appends-per-second", APPENDS_PER_SECOND));
    }
}
