package org.cornelramp.standins;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.cornelramp.standins.http.StandIn;
import org.cornelramp.standins.vms.VmsStandIn;

/** Builds the VM list from its options. Stateless. */
final class VmsCommand implements Command {

    @Override
    public String name() {
        return "vms";
    }

    @Override
    public Options options() {
        return Command.common().addOption(Command.valued("lag-millis"));
    }

    @Override
    public StandIn build(CommandLine line, StandInProcess process) {
        return new VmsStandIn(process.clock(), Command.number(line, "lag-millis", 0));
    }
}
