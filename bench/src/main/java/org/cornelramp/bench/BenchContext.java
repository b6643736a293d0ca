package org.cornelramp.bench;

import java.nio.file.Path;
import org.cornelramp.bench.measure.Results;

/**
 * The common options of all commands. Immutable, safe for use by any thread.
 *
 * @param home folder of the checkout with the built jars
 * @param seconds longest time of the whole run, in seconds
 * @param seed seed of all random draws
 */
public record BenchContext(Path home, int seconds, long seed) {

    /** Creates the results of a benchmark. */
    public Results results(String name) {
        return new Results(home.resolve("out"), name);
    }
}
