package org.cornelramp.standins;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.cornelramp.standins.http.StandIn;
import org.cornelramp.standins.service.ServiceOptions;
import org.cornelramp.standins.service.ServiceStandIn;

/** Builds a plain service from its options. Stateless. */
final class ServiceCommand implements Command {
    private static final long MILLIS = 20;
    private static final int SLOTS = 8;

    @Override
    public String name() {
        return "service";
    }

    @Override
    public Options options() {
        return Command.common()
                .addOption(Command.valued("name"))
                .addOption(Command.valued("version"))
                .addOption(Command.valued("millis"))
                .addOption(Command.valued("slots"));
    }

    @Override
    public StandIn build(CommandLine line, StandInProcess process) {
        ServiceOptions options = new ServiceOptions(
                line.getOptionValue("name", "booking"),
                line.getOptionValue("version", "1"),
                Command.number(line, "millis", MILLIS),
                (int) Command.number(line, "slots", SLOTS));
        return new ServiceStandIn(
                process.faults(), process.trace(), process.clock(), process.timer(), options, process.life());
    }
}
