package org.cornelramp.bench;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** One command of this program, selected by its first argument. Implementations are stateless. */
public interface BenchCommand {

    /** The first argument that selects the command. */
    String name();

    /** Options in addition to the common ones. */
    default Options options() {
        return new Options();
    }

    /** Runs the command and returns the exit status. */
    int run(BenchContext context, CommandLine line) throws Exception;
}
