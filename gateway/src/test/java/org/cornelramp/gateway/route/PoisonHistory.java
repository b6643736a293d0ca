package org.cornelramp.gateway.route;

import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/**
 * Random histories of a {@link PoisonFleet}: servers, racks and gateways fail, and updates between gateways are lost or
 * late. Stateless.
 */
final class PoisonHistory {
    /** Engines of the fleet. */
    static final int ENGINES = 8;

    /** Plain servers of the fleet. */
    static final int PLAIN_SERVERS = 3;

    private PoisonHistory() {}

    /** Lets servers and gateways fail at random for a while. */
    static void disturb(PoisonFleet fleet, SplittableRandom random, int steps) {
        for (int step = 0; step < steps; step++) {
            switch (random.nextInt(8)) {
                case 0 -> fleet.crashServer(random.nextInt(ENGINES + PLAIN_SERVERS));
                case 1 -> crashRack(fleet, random);
                case 2 -> crashInTurn(fleet, random);
                case 3 -> fleet.restartGateway(random.nextInt(8));
                case 4 -> fleet.cutGateway(random.nextInt(8), random.nextInt(5_000));
                case 5 -> fleet.setUpdateLoss(random.nextInt(4) * 0.15);
                case 6 -> fleet.setUpdateDelay(random.nextInt(3) * 300L);
                default -> {
                    // only time passes
                }
            }
            fleet.run(200L + random.nextInt(1_500), 2 + random.nextInt(10));
        }
    }

    /** Changes at random, for some seconds, how servers answer the requests that they run, and whether relays hold ports. */
    static void drawFailures(PoisonFleet fleet, long seed, int seconds) {
        SplittableRandom random = new SplittableRandom(seed + 1);
        for (int second = 0; second < seconds; second += 1 + random.nextInt(6)) {
            fleet.schedule(second * 1_000L, () -> fleet.setFailures(RunFailures.draw(random)));
        }
        fleet.setRelayed(random.nextInt(3) == 0);
    }

    /**
     * Lets callers send the same sound requests all the time, one of each service.
     *
     * @param status status with which each server answers them; empty if that depends on the server
     */
    static void repeatInnocents(PoisonFleet fleet, Optional<Integer> status) {
        fleet.repeatInnocent(PoisonFleet.Kind.IDEMPOTENT, "popular", status, 160);
        fleet.repeatInnocent(PoisonFleet.Kind.STREAM, "popular", status, 400);
    }

    private static void crashRack(PoisonFleet fleet, SplittableRandom random) {
        int first = random.nextInt(ENGINES);
        IntStream.range(first, first + 3).forEach(fleet::crashServer);
    }

    private static void crashInTurn(PoisonFleet fleet, SplittableRandom random) {
        int first = random.nextInt(ENGINES);
        long pauseMillis = 20L + random.nextInt(400);
        IntStream.range(0, 4).forEach(i -> fleet.schedule(pauseMillis * i, () -> fleet.crashServer(first + i)));
    }

    /** Lets servers lose their connections at random without a crash, each for a short time, within a span of time. */
    static void interrupt(PoisonFleet fleet, SplittableRandom random, int times, int withinMillis) {
        for (int i = 0; i < times; i++) {
            int server = random.nextInt(ENGINES);
            long forMillis = random.nextInt(1_500);
            fleet.schedule(random.nextInt(withinMillis), () -> fleet.interruptServer(server, forMillis));
        }
    }
}
