package org.cornelramp.standins;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.cornelramp.core.model.LayerRange;
import org.cornelramp.standins.engine.EngineOptions;
import org.cornelramp.standins.engine.EngineStandIn;
import org.cornelramp.standins.http.StandIn;

/** Builds the stand-in for a model engine from its options. Stateless. */
final class EngineCommand implements Command {
    private static final int DEFAULT_SLOTS = 16;
    private static final long DEFAULT_BASE_MICROS = 2_000;
    private static final long DEFAULT_INPUT_MICROS = 50;
    private static final long DEFAULT_KV_LIMIT = 1_000_000;
    private static final long DEFAULT_REPORT_LAG_MILLIS = 500;
    private static final int LAYER_RANGE_PARTS = 3;

    @Override
    public String name() {
        return "engine";
    }

    @Override
    public Options options() {
        return Command.commonOptions()
                .addOption(Command.optionWithValue("model"))
                .addOption(Command.optionWithValue("layers"))
                .addOption(Command.optionWithValue("accelerator"))
                .addOption(Command.optionWithValue("version"))
                .addOption(Command.optionWithValue("slots"))
                .addOption(Command.optionWithValue("base-micros"))
                .addOption(Command.optionWithValue("input-micros"))
                .addOption(Command.optionWithValue("kv-limit"))
                .addOption(Command.optionWithValue("check-terms"))
                .addOption(Command.optionWithValue("report-lag-millis"));
    }

    @Override
    public StandIn build(CommandLine commandLine, StandInProcess process) {
        EngineOptions options = new EngineOptions(
                commandLine.getOptionValue("model", "model"),
                parseLayerRange(commandLine.getOptionValue("layers", "0:24:24")),
                commandLine.getOptionValue("version", "1"),
                commandLine.getOptionValue("accelerator", "a"),
                (int) Command.longValue(commandLine, "slots", DEFAULT_SLOTS),
                Command.longValue(commandLine, "base-micros", DEFAULT_BASE_MICROS),
                Command.longValue(commandLine, "input-micros", DEFAULT_INPUT_MICROS),
                Command.longValue(commandLine, "kv-limit", DEFAULT_KV_LIMIT),
                Boolean.parseBoolean(commandLine.getOptionValue("check-terms", "false")),
                Command.longValue(commandLine, "report-lag-millis", DEFAULT_REPORT_LAG_MILLIS));
        return new EngineStandIn(
                options, process.faults(), process.trace(), process.clock(), process.timer(), process.incarnation());
    }

    private static LayerRange parseLayerRange(String text) {
        String[] parts = text.split(":", -1);
        if (parts.length != LAYER_RANGE_PARTS) {
            throw new IllegalArgumentException("--layers must have the form from:to:total");
        }
        return new LayerRange(Integer.parseInt(parts[0]), Integer.parseInt(parts[1]), Integer.parseInt(parts[2]));
    }
}
