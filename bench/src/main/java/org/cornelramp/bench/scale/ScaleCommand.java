package org.cornelramp.bench.scale;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.cornelramp.bench.BenchCommand;
import org.cornelramp.bench.BenchContext;
import org.cornelramp.bench.measure.Plot;
import org.cornelramp.bench.measure.Results;

/**
 * {@code bench scale}: measures the resource usage of an entry and an agent, idle and under load, against the number of
 * links, of table rows and of table changes. The slopes are printed last, for the capacity page. Stateless.
 */
public final class ScaleCommand implements BenchCommand {

    @Override
    public String name() {
        return "scale";
    }

    @Override
    public int run(BenchContext context, CommandLine line) throws Exception {
        Results results = context.results(name());
        Plot plot =
                new Plot("Processor time of one process", "links, hundreds of rows or changes a second", "% of a core");
        List<CostSeries> series = new ArrayList<>();
        double share = context.seconds() / 90.0;
        series.addAll(new EntryLinkCost(context, share).measure());
        series.addAll(new AgentLinkCost(context, share).measure());
        series.addAll(new TableCost(context, share).measure());
        series.forEach(one -> one.report(results, plot));
        plot.write(results.file(".png"));
        results.finish();
        return 0;
    }
}
