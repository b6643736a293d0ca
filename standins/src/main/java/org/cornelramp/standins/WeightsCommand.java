package org.cornelramp.standins;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.cornelramp.standins.http.StandIn;
import org.cornelramp.standins.weights.WeightsStandIn;

/** Builds the weight store from its options. Stateless. */
final class WeightsCommand implements Command {

    @Override
    public String name() {
        return "weights";
    }

    @Override
    public Options options() {
        return Command.common().addOption(Command.valued("loads-per-second"));
    }

    @Override
    public StandIn build(CommandLine line, StandInProcess process) {
        return new WeightsStandIn(process.clock(), process.trace(), Command.decimal(line, "loads-per-second", 1));
    }
}
