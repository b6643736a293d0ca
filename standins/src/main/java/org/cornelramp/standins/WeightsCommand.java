package org.cornelramp.standins;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.cornelramp.standins.http.StandIn;
import org.cornelramp.standins.weights.WeightsStandIn;

/** Builds the stand-in for the weight store from its options. Stateless. */
final class WeightsCommand implements Command {

    @Override
    public String name() {
        return "weights";
    }

    @Override
    public Options options() {
        return Command.commonOptions().addOption(Command.optionWithValue("loads-per-second"));
    }

    @Override
    public StandIn build(CommandLine commandLine, StandInProcess process) {
        return new WeightsStandIn(
                process.clock(), process.trace(), Command.doubleValue(commandLine, "loads-per-second", 1));
    }
}
