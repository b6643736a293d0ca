package org.cornelramp.bench.scale;

import java.util.List;
import org.cornelramp.bench.BenchContext;
import org.cornelramp.bench.fleet.Fleet;
import org.cornelramp.bench.fleet.FleetPlan;
import org.cornelramp.bench.fleet.Member;
import org.cornelramp.bench.load.OpenLoop;

/**
 * Measures one idle entry and one idle agent with a growing number of table rows (one for each organisation), and then
 * with table changes at several rates. Row counts are reported in hundreds. Confined to one thread.
 */
final class TableCost {
    private static final int[] ROWS = {100, 1_000, 2_000, 4_000};
    private static final double[] CHANGES = {1, 5, 20};
    private static final int HUNDRED = 100;
    private static final double WINDOW_SECONDS = 1.2;
    private static final long SETTLE_MILLIS = 700;

    private final BenchContext context;
    private final double window;

    TableCost(BenchContext context, double share) {
        this.context = context;
        this.window = WINDOW_SECONDS * share;
    }

    List<CostSeries> measure() throws Exception {
        CostSeries entryRows = new CostSeries("entry_idle_per_hundred_rows");
        CostSeries agentRows = new CostSeries("agent_idle_per_hundred_rows");
        CostSeries entryChanges = new CostSeries("entry_per_table_change_a_second");
        CostSeries agentChanges = new CostSeries("agent_per_table_change_a_second");
        FleetPlan plan = new FleetPlan(1, List.of(), 1, 1, 2, 1, false);
        try (Fleet fleet = Fleet.start(context.home(), plan)) {
            Member entry = fleet.entries().get(0);
            Member agent = fleet.services().get(0);
            CostMeter entryMeter = new CostMeter(fleet.http(), entry);
            CostMeter agentMeter = new CostMeter(fleet.http(), agent);
            TableEdits edits = new TableEdits(fleet);
            for (int target : ROWS) {
                edits.growTo(target);
                Thread.sleep(SETTLE_MILLIS);
                entryMeter.sinceLast();
                agentMeter.sinceLast();
                Thread.sleep((long) (window * 1_000));
                entryRows.add((double) target / HUNDRED, entryMeter.sinceLast());
                agentRows.add((double) target / HUNDRED, agentMeter.sinceLast());
            }
            for (double rate : CHANGES) {
                Thread.sleep(SETTLE_MILLIS);
                entryMeter.sinceLast();
                agentMeter.sinceLast();
                change(edits, rate);
                entryChanges.add(rate, entryMeter.sinceLast());
                agentChanges.add(rate, agentMeter.sinceLast());
            }
        }
        return List.of(entryRows, agentRows, entryChanges, agentChanges);
    }

    /** Each change adds a row, which costs as much as any accepted edit. */
    private void change(TableEdits edits, double rate) {
        new OpenLoop(context.seed()).run(rate, System.nanoTime(), window, due -> edits.add(1));
    }
}
