package org.cornelramp.cli.command;

import org.apache.commons.cli.CommandLine;
import org.cornelramp.cli.CliException;
import org.cornelramp.cli.ExitCode;
import org.cornelramp.cli.client.CallException;
import org.cornelramp.core.operate.DrainAnswer;
import org.cornelramp.core.operate.DrainRequest;

/** Begins the planned stop of a backend server's agent or of an entry. Stateless. */
public final class Drain implements Command {

    @Override
    public String name() {
        return "drain";
    }

    @Override
    public String arguments() {
        return "NAME";
    }

    @Override
    public String summary() {
        return "begin the planned stop of an agent, or of the entry that is called";
    }

    @Override
    public ExitCode run(CommandContext context, CommandLine line) throws CliException {
        String name = CommandContext.argument(line.getArgList(), 0, "the NAME of the backend server or entry");
        try {
            DrainAnswer answer = context.entryClient()
                    .post("drain", new DrainRequest(name, context.operatorName()), DrainAnswer.class);
            if (context.json()) {
                context.printJson(answer);
            } else {
                context.out()
                        .println("drain of " + answer.name() + " passed on by " + answer.passedBy()
                                + "; status shows when it is gone");
            }
            return ExitCode.DONE;
        } catch (CallException e) {
            throw new CliException(
                    ExitCode.UNKNOWN, "no answer; check status and repeat the drain, which is safe: " + e.getMessage());
        }
    }
}
