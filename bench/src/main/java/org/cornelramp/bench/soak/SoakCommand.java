package org.cornelramp.bench.soak;

import java.util.List;
import java.util.Locale;
import org.apache.commons.cli.CommandLine;
import org.cornelramp.bench.BenchCommand;
import org.cornelramp.bench.BenchContext;
import org.cornelramp.bench.load.CallEnd;
import org.cornelramp.bench.load.Sample;

/**
 * {@code agent-soak --seed N --seconds S}: runs a fleet under load and random faults and checks the invariants. After a
 * violation it prints the schedule and every violation, and exits with status 1. The last lines hold the figures of the
 * run. Stateless.
 */
public final class SoakCommand implements BenchCommand {

    @Override
    public String name() {
        return "agent-soak";
    }

    @Override
    public int run(BenchContext context, CommandLine line) throws Exception {
        Violations violations = new Violations();
        SoakRun run = new SoakRun(context.home(), context.seed(), context.seconds(), violations);
        run.run();
        List<String> found = violations.all();
        if (!found.isEmpty()) {
            System.out.println("schedule of seed " + context.seed() + ":");
            run.injectedFaults().forEach(fault -> System.out.println("  " + fault.fault() + " at " + fault.member()));
            found.forEach(violation -> System.out.println("violation " + violation));
        }
        List<Sample> all = run.outcomes().all();
        System.out.println(run.summary());
        System.out.printf(
                Locale.ROOT,
                "violations=%d requests=%d answered=%d not_run=%d unknown=%d faults=%d%n",
                found.size(),
                all.size(),
                all.stream().filter(s -> s.end().isAnswered()).count(),
                count(all, CallEnd.NOT_RUN),
                count(all, CallEnd.UNKNOWN),
                run.injectedFaults().size());
        return found.isEmpty() ? 0 : 1;
    }

    private static long count(List<Sample> samples, CallEnd end) {
        return samples.stream().filter(s -> s.end() == end).count();
    }
}
