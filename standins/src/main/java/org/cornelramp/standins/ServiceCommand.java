package org.cornelramp.standins;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.cornelramp.standins.http.StandIn;
import org.cornelramp.standins.service.ServiceOptions;
import org.cornelramp.standins.service.ServiceStandIn;

/** Builds the stand-in for a plain service from its options. Stateless. */
final class ServiceCommand implements Command {
    private static final long DEFAULT_CALL_MILLIS = 20;
    private static final int DEFAULT_SLOTS = 8;

    @Override
    public String name() {
        return "service";
    }

    @Override
    public Options options() {
        return Command.commonOptions()
                .addOption(Command.optionWithValue("name"))
                .addOption(Command.optionWithValue("version"))
                .addOption(Command.optionWithValue("millis"))
                .addOption(Command.optionWithValue("slots"));
    }

    @Override
    public StandIn build(CommandLine commandLine, StandInProcess process) {
        ServiceOptions options = new ServiceOptions(
                commandLine.getOptionValue("name", "booking"),
                commandLine.getOptionValue("version", "1"),
                Command.longValue(commandLine, "millis", DEFAULT_CALL_MILLIS),
                (int) Command.longValue(commandLine, "slots", DEFAULT_SLOTS));
        return new ServiceStandIn(
                process.faults(), process.trace(), process.clock(), process.timer(), options, process.incarnation());
    }
}
