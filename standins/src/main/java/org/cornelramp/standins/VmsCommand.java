package org.cornelramp.standins;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.cornelramp.standins.http.StandIn;
import org.cornelramp.standins.vms.VmsStandIn;

/** Builds the stand-in for the VM list from its options. Stateless. */
final class VmsCommand implements Command {

    @Override
    public String name() {
        return "vms";
    }

    @Override
    public Options options() {
        return Command.commonOptions().addOption(Command.optionWithValue("lag-millis"));
    }

    @Override
    public StandIn build(CommandLine commandLine, StandInProcess process) {
        return new VmsStandIn(process.clock(), Command.longValue(commandLine, "lag-millis", 0));
    }
}
