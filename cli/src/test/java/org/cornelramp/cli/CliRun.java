package org.cornelramp.cli;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** The exit code and output of one run of the command line. Immutable, safe for use by any thread. */
record CliRun(ExitCode exitCode, String out, String progress) {

    static CliRun execute(String entries, String... args) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream progress = new ByteArrayOutputStream();
        Map<String, String> variables = Map.of("CORNELRAMP_ENTRY", entries, "CORNELRAMP_OPERATOR_KEY", FakeEntry.KEY);
        ExitCode code = Main.run(
                args,
                variables,
                new PrintStream(out, true, StandardCharsets.UTF_8),
                new PrintStream(progress, true, StandardCharsets.UTF_8));
        return new CliRun(code, out.toString(StandardCharsets.UTF_8), progress.toString(StandardCharsets.UTF_8));
    }
}
