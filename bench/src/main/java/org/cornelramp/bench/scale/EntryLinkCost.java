package org.cornelramp.bench.scale;

import java.util.List;
import org.cornelramp.bench.BenchContext;
import org.cornelramp.bench.fleet.Fleet;
import org.cornelramp.bench.fleet.FleetPlan;
import org.cornelramp.bench.fleet.Member;

/** Measures one entry with 1 to 16 agents, each with a plain service. Confined to one thread. */
final class EntryLinkCost {
    private static final int[] AGENTS = {1, 2, 4, 8, 16};
    private static final double WINDOW_SECONDS = 1.2;
    private static final double CALLS_PER_SECOND = 200;
    private static final int WARM_UP = 2;
    private static final int SERVICE_MILLIS = 5;
    private static final long SETTLE_MILLIS = 500;

    private final BenchContext context;
    private final double window;

    EntryLinkCost(BenchContext context, double share) {
        this.context = context;
        this.window = WINDOW_SECONDS * share;
    }

    List<CostSeries> measure() throws Exception {
        CostSeries idle = new CostSeries("entry_idle_per_link");
        CostSeries loaded = new CostSeries("entry_loaded_per_link");
        FleetPlan plan = new FleetPlan(1, List.of(), 1, SERVICE_MILLIS, 2, 1, false);
        try (Fleet fleet = Fleet.start(context.home(), plan);
                ScaleLoad load = new ScaleLoad(fleet, fleet.entries(), context.seed())) {
            Member entry = fleet.entries().get(0);
            load.run(WARM_UP * CALLS_PER_SECOND, window);
            for (int agents : AGENTS) {
                growTo(fleet, agents);
                CostMeter meter = new CostMeter(fleet.http(), entry);
                Thread.sleep((long) (window * 1_000));
                idle.add(agents, meter.sinceLast());
                load.run(CALLS_PER_SECOND, window);
                loaded.add(agents, meter.sinceLast());
            }
            System.out.println("entry links: bookings ended " + load.ends());
        }
        return List.of(idle, loaded);
    }

    private static void growTo(Fleet fleet, int agents) throws InterruptedException {
        for (int i = fleet.services().size(); i < agents; i++) {
            fleet.launchService("service-" + i, SERVICE_MILLIS, "dc-0");
        }
        fleet.publishVms();
        fleet.services().forEach(member -> member.daemon().awaitReady());
        LinkCheck check = new LinkCheck(fleet);
        fleet.services().forEach(check::awaitLinked);
        Thread.sleep(SETTLE_MILLIS);
    }
}
