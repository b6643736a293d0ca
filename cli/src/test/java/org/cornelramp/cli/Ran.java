package org.cornelramp.cli;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** What one run of the command line gave. Immutable, safe for use by any thread. */
record Ran(ExitCode code, String out, String progress) {

    static Ran of(String entries, String... args) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream progress = new ByteArrayOutputStream();
        Map<String, String> variables = Map.of("CORNELRAMP_ENTRY", entries, "CORNELRAMP_OPERATOR_KEY", FakeEntry.KEY);
        ExitCode code = Main.run(
                args,
                variables,
                new PrintStream(out, true, StandardCharsets.UTF_8),
                new PrintStream(progress, true, StandardCharsets.UTF_8));
        return new Ran(code, out.toString(StandardCharsets.UTF_8), progress.toString(StandardCharsets.UTF_8));
    }
}
