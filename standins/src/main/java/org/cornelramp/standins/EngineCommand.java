package org.cornelramp.standins;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.cornelramp.core.model.LayerRange;
import org.cornelramp.standins.engine.EngineOptions;
import org.cornelramp.standins.engine.EngineStandIn;
import org.cornelramp.standins.http.StandIn;

/** Builds a model engine from its options. Stateless. */
final class EngineCommand implements Command {
    private static final int SLOTS = 16;
    private static final long BASE_MICROS = 2_000;
    private static final long INPUT_MICROS = 50;
    private static final long KV_LIMIT = 1_000_000;
    private static final long REPORT_LAG_MILLIS = 500;
    private static final int RANGE_PARTS = 3;

    @Override
    public String name() {
        return "engine";
    }

    @Override
    public Options options() {
        return Command.common()
                .addOption(Command.valued("model"))
                .addOption(Command.valued("layers"))
                .addOption(Command.valued("accelerator"))
                .addOption(Command.valued("version"))
                .addOption(Command.valued("slots"))
                .addOption(Command.valued("base-micros"))
                .addOption(Command.valued("input-micros"))
                .addOption(Command.valued("kv-limit"))
                .addOption(Command.valued("check-terms"))
                .addOption(Command.valued("report-lag-millis"));
    }

    @Override
    public StandIn build(CommandLine line, StandInProcess process) {
        EngineOptions options = new EngineOptions(
                line.getOptionValue("model", "model"),
                layers(line.getOptionValue("layers", "0:24:24")),
                line.getOptionValue("version", "1"),
                line.getOptionValue("accelerator", "a"),
                (int) Command.number(line, "slots", SLOTS),
                Command.number(line, "base-micros", BASE_MICROS),
                Command.number(line, "input-micros", INPUT_MICROS),
                Command.number(line, "kv-limit", KV_LIMIT),
                Boolean.parseBoolean(line.getOptionValue("check-terms", "false")),
                Command.number(line, "report-lag-millis", REPORT_LAG_MILLIS));
        return new EngineStandIn(
                options, process.faults(), process.trace(), process.clock(), process.timer(), process.life());
    }

    private static LayerRange layers(String text) {
        String[] parts = text.split(":", -1);
        if (parts.length != RANGE_PARTS) {
            throw new IllegalArgumentException("A layer range reads from:to:total");
        }
        return new LayerRange(Integer.parseInt(parts[0]), Integer.parseInt(parts[1]), Integer.parseInt(parts[2]));
    }
}
