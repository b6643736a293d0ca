package org.cornelramp.bench.demo;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.cornelramp.bench.fleet.Fleet;
import org.cornelramp.bench.fleet.FleetException;

/** Runs the operators' command line against one entry. Safe for use by any thread. */
final class CommandLineTool {
    private final Path home;
    private final String entryUrl;

    CommandLineTool(Path home, String entryUrl) {
        this.home = home;
        this.entryUrl = entryUrl;
    }

    /** Runs a command and returns its output; throws a {@link FleetException} if it fails. */
    String run(String... arguments) {
        List<String> command =
                new ArrayList<>(List.of(home.resolve("bin/cornelramp").toString()));
        command.addAll(List.of(arguments));
        command.addAll(List.of("--entry", entryUrl));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().put("CORNELRAMP_OPERATOR_KEY", Fleet.OPERATOR_KEY);
        try {
            Process process = builder.start();
            String text = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            if (process.waitFor() != 0) {
                throw new FleetException("cornelramp " + String.join(" ", arguments) + " failed:\n" + text);
            }
            return text;
        } catch (IOException e) {
            throw new FleetException("Could not run the command line", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new FleetException("Interrupted while waiting for the command line", e);
        }
    }
}
