package org.cornelramp.bench.soak;

import java.util.List;
import java.util.Locale;
import org.apache.commons.cli.CommandLine;
import org.cornelramp.bench.BenchCommand;
import org.cornelramp.bench.BenchContext;
import org.cornelramp.bench.load.CallEnd;
import org.cornelramp.bench.load.Sample;

/**
 * {@code agent-soak --seed N --seconds S}: random faults under load with invariants checked. Prints the schedule and every
 * violation if there is one, then one line of figures; the status is 1 after a violation. Stateless.
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
        List<String> broken = violations.all();
        if (!broken.isEmpty()) {
            System.out.println("schedule of seed " + context.seed() + ":");
            run.struck().forEach(struck -> System.out.println("  " + struck.fault() + " at " + struck.member()));
            broken.forEach(violation -> System.out.println("violation " + violation));
        }
        List<Sample> all = run.ledger().all();
        System.out.println(run.summary());
        System.out.printf(
                Locale.ROOT,
                "violations=%d requests=%d answered=%d not_run=%d unknown=%d faults=%d%n",
                broken.size(),
                all.size(),
                all.stream().filter(s -> s.end().isAnswered()).count(),
                count(all, CallEnd.NOT_RUN),
                count(all, CallEnd.UNKNOWN),
                run.struck().size());
        return broken.isEmpty() ? 0 : 1;
    }

    private static long count(List<Sample> samples, CallEnd end) {
        return samples.stream().filter(s -> s.end() == end).count();
    }
}
