package org.cornelramp.cli.command;

import io.vavr.control.Either;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.cornelramp.cli.CliException;
import org.cornelramp.cli.ExitCode;
import org.cornelramp.core.settings.DaemonSettings;
import org.cornelramp.core.settings.SettingsFault;
import org.cornelramp.core.settings.SettingsReader;

/** Validates a daemon's settings file. Stateless. */
public final class SettingsCheck implements Command {

    /** The result, printed as JSON. */
    private record CheckResult(boolean valid, List<SettingsFault> faults) {}

    @Override
    public String name() {
        return "settings check";
    }

    @Override
    public String arguments() {
        return "FILE";
    }

    @Override
    public String summary() {
        return "check a daemon's settings and report every fault";
    }

    @Override
    public ExitCode run(CommandContext context, CommandLine line) throws CliException {
        String file = CommandContext.argument(line.getArgList(), 0, "the settings FILE");
        Either<List<SettingsFault>, DaemonSettings> read = new SettingsReader().read(CommandContext.readFile(file));
        List<SettingsFault> faults = read.fold(found -> found, settings -> List.of());
        if (context.json()) {
            context.printJson(new CheckResult(faults.isEmpty(), faults));
        } else {
            faults.forEach(context.out()::println);
            context.out().println(file + ": " + (faults.isEmpty() ? "valid" : faults.size() + " faults"));
        }
        return faults.isEmpty() ? ExitCode.DONE : ExitCode.USAGE;
    }
}
