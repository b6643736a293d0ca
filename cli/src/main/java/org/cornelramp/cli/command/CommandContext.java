package org.cornelramp.cli.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import org.cornelramp.cli.CliException;
import org.cornelramp.cli.ExitCode;
import org.cornelramp.cli.client.EntryClient;
import org.cornelramp.core.operate.OperatorJson;

/**
 * The environment that a command runs in. Confined to one thread.
 *
 * @param out receives results
 * @param progress receives progress and remarks, kept apart from results so that these can be piped
 * @param clock the clock that waits are measured with
 * @param json whether results are printed as JSON
 * @param operatorName name of the operator, recorded with each edit and drain
 * @param entryClient calls the entries
 */
public record CommandContext(
        PrintStream out,
        PrintStream progress,
        Clock clock,
        boolean json,
        String operatorName,
        EntryClient entryClient) {

    /** Writes a document as JSON. */
    public void printJson(Object document) {
        try {
            out.println(OperatorJson.STRICT.writerWithDefaultPrettyPrinter().writeValueAsString(document));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("The document cannot be written as JSON", e);
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

    /**
     * The argument at an index, counted from 0.
     *
     * @param name what the argument is, for the error message if it is missing
     */
    public static String argument(java.util.List<String> arguments, int index, String name) throws CliException {
        if (index >= arguments.size()) {
            throw new CliException(ExitCode.USAGE, "give " + name);
        }
        return arguments.get(index);
    }
}
