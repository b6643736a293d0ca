package org.cornelramp.bench.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.cornelramp.bench.fleet.FleetException;
import org.cornelramp.bench.gateway.Disturbances.Disturbance;
import org.cornelramp.bench.soak.Violations;
import org.cornelramp.platform.standin.StandInFleet;

/** The faults of a run: drawn from its seed before it starts, then brought about, each on a thread of its own. */
final class GatewayFaults {
    private static final long FIRST_MILLIS = 500;
    private static final int MEAN_GAP_MILLIS = 700;
    private static final int SHORTEST_MILLIS = 200;
    private static final int LONGEST_MILLIS = 3_500;

    /** One fault in four strikes where the last one did: in series, or while it still lasts. */
    private static final double SAME_PLACE = 0.25;

    private static final int MOST_MEMBERS = 1 << 20;

    private final GatewayWorld world;
    private final Violations violations;
    private final List<GatewayFault.Struck> planned;
    private final ExecutorService threads = Executors.newCachedThreadPool(work -> {
        Thread thread = new Thread(work, "fault");
        thread.setDaemon(true);
        return thread;
    });

    GatewayFaults(GatewayWorld world, Violations violations, long seed, long millis) {
        this.world = world;
        this.violations = violations;
        this.planned = draw(world, seed, millis);
    }

    private static List<GatewayFault.Struck> draw(GatewayWorld world, long seed, long millis) {
        SplittableRandom random = new SplittableRandom(seed);
        GatewayFault[] kinds = GatewayFault.values();
        List<GatewayFault.Struck> faults = new ArrayList<>();
        int member = random.nextInt(MOST_MEMBERS);
        long at = FIRST_MILLIS + random.nextInt(MEAN_GAP_MILLIS);
        while (at < millis) {
            member = random.nextDouble() < SAME_PLACE ? member : random.nextInt(MOST_MEMBERS);
            long lasts = (long) SHORTEST_MILLIS + random.nextInt(LONGEST_MILLIS - SHORTEST_MILLIS);
            GatewayFault fault = kinds[random.nextInt(kinds.length)];
            faults.add(new GatewayFault.Struck(fault, world, member, at, lasts, random.split()));
            at += 1 + random.nextInt(2 * MEAN_GAP_MILLIS);
        }
        return List.copyOf(faults);
    }

    /** The faults in the order of their begin. */
    List<GatewayFault.Struck> planned() {
        return planned;
    }

    /** Brings all faults about and waits until the last one has ended. */
    void run() throws InterruptedException {
        long begin = StandInFleet.nowMillis();
        for (GatewayFault.Struck fault : planned) {
            long wait = begin + fault.atMillis() - StandInFleet.nowMillis();
            if (wait > 0) {
                Thread.sleep(wait);
            }
            threads.execute(() -> strike(fault));
        }
        threads.shutdown();
        if (!threads.awaitTermination(2, TimeUnit.MINUTES)) {
            violations.add("fault", "a fault did not end within two minutes of the last");
        }
    }

    private void strike(GatewayFault.Struck fault) {
        Disturbance open =
                world.disturbances().begin(fault.fault().target(), fault.gatewayNumber(), StandInFleet.nowMillis());
        try {
            fault.fault().strike(fault);
        } catch (FleetException e) {
            violations.add("fault", fault + " could not be brought about: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        world.disturbances().end(open, StandInFleet.nowMillis());
    }
}
