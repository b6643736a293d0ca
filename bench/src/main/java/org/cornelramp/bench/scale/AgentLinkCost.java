package org.cornelramp.bench.scale;

import java.util.List;
import org.cornelramp.bench.BenchContext;
import org.cornelramp.bench.fleet.Fleet;
import org.cornelramp.bench.fleet.FleetPlan;
import org.cornelramp.bench.fleet.Member;

/** Measures one agent with 1 to 16 entries that share a constant load. Confined to one thread. */
final class AgentLinkCost {
    private static final int[] ENTRIES = {1, 2, 4, 8, 16};
    private static final double WINDOW_SECONDS = 1.2;
    private static final double CALLS_PER_SECOND = 100;
    private static final int SERVICE_MILLIS = 5;
    private static final long SETTLE_MILLIS = 500;

    private final BenchContext context;
    private final double window;

    AgentLinkCost(BenchContext context, double share) {
        this.context = context;
        this.window = WINDOW_SECONDS * share;
    }

    List<CostSeries> measure() throws Exception {
        CostSeries idle = new CostSeries("agent_idle_per_link");
        CostSeries loaded = new CostSeries("agent_loaded_per_link");
        FleetPlan plan = new FleetPlan(1, List.of(), 1, SERVICE_MILLIS, 2, 1, false);
        try (Fleet fleet = Fleet.start(context.home(), plan)) {
            Member agent = fleet.services().get(0);
            for (int entries : ENTRIES) {
                growTo(fleet, entries);
                try (ScaleLoad load = new ScaleLoad(fleet, fleet.entries(), context.seed())) {
                    load.run(CALLS_PER_SECOND, window / 4);
                    CostMeter meter = new CostMeter(fleet.http(), agent);
                    Thread.sleep((long) (window * 1_000));
                    idle.add(entries, meter.sinceLast());
                    load.run(CALLS_PER_SECOND, window);
                    loaded.add(entries, meter.sinceLast());
                    System.out.println("agent links: bookings ended " + load.ends());
                }
            }
        }
        return List.of(idle, loaded);
    }

    private static void growTo(Fleet fleet, int entries) throws InterruptedException {
        for (int i = fleet.entries().size(); i < entries; i++) {
            fleet.launchEntry("entry-" + i);
        }
        fleet.publishVms();
        fleet.entries().forEach(member -> member.daemon().awaitReady());
        LinkCheck check = new LinkCheck(fleet);
        fleet.entries().forEach(check::awaitLinked);
        Thread.sleep(SETTLE_MILLIS);
    }
}
