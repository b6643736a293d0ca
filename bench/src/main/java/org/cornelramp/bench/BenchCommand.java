package org.cornelramp.bench;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** One thing that this program does, named by its first argument. Implementations are stateless. */
public interface BenchCommand {

    /** The first argument that names the command. */
    String name();

    /** Options beside the common ones. */
    default Options options() {
        return new Options();
    }

    /** Runs the command; gives the exit status. */
    int run(BenchContext context, CommandLine line) throws Exception;
}
