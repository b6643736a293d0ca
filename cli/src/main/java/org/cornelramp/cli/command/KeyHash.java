package org.cornelramp.cli.command;

import java.util.Map;
import org.apache.commons.cli.CommandLine;
import org.cornelramp.cli.CliException;
import org.cornelramp.cli.ExitCode;
import org.cornelramp.core.routing.KeyId;

/** Hashes a key, because the table and the settings hold only hashes of keys. Stateless. */
public final class KeyHash implements Command {

    @Override
    public String name() {
        return "key hash";
    }

    @Override
    public String arguments() {
        return "FILE";
    }

    @Override
    public String summary() {
        return "hash the key in a file for the table or the settings; the key is not shown";
    }

    @Override
    public ExitCode run(CommandContext context, CommandLine line) throws CliException {
        String key = CommandContext.readFile(
                        CommandContext.argument(line.getArgList(), 0, "the FILE that holds the key"))
                .strip();
        if (key.isEmpty()) {
            throw new CliException(ExitCode.USAGE, "the file holds no key; write the key into it");
        }
        String hash = KeyId.of(key).hash();
        if (context.json()) {
            context.printJson(Map.of("hash", hash));
        } else {
            context.out().println(hash);
        }
        return ExitCode.DONE;
    }
}
