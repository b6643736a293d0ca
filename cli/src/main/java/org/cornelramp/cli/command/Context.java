package org.cornelramp.cli.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import org.cornelramp.cli.CliException;
import org.cornelramp.cli.ExitCode;
import org.cornelramp.cli.client.Entries;
import org.cornelramp.core.operate.OperatorJson;

/**
 * What a command works with. Confined to one thread.
 *
 * @param out where results go
 * @param progress where progress and remarks go, so that results can be piped
 * @param clock the clock
 * @param json whether results are JSON
 * @param by who edits, for the history
 * @param entries the entries
 */
public record Context(PrintStream out, PrintStream progress, Clock clock, boolean json, String by, Entries entries) {

    /** Writes a document as JSON. */
    public void printJson(Object document) {
        try {
            out.println(OperatorJson.STRICT.writerWithDefaultPrettyPrinter().writeValueAsString(document));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("A document always has a JSON form", e);
        }
    }

    /** Reads a file as text. */
    public static String readFile(String path) throws CliException {
        try {
            return Files.readString(Path.of(path));
        } catch (IOException | IllegalArgumentException e) {
            throw new CliException(ExitCode.USAGE, "the file cannot be read as UTF-8, correct it or its path: " + path);
        }
    }

    /** The only argument of a command. */
    public static String argument(java.util.List<String> arguments, int place, String name) throws CliException {
        if (place >= arguments.size()) {
            throw new CliException(ExitCode.USAGE, "give " + name);
        }
        return arguments.get(place);
    }
}
