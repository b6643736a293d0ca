package org.cornelramp.bench.gateway;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.cornelramp.bench.BenchCommand;
import org.cornelramp.bench.BenchContext;
import org.cornelramp.bench.fleet.FleetException;
import org.cornelramp.bench.soak.Violations;
import org.cornelramp.platform.standin.StandInFleet;

/**
 * {@code soak --seed N --seconds S [--gateways G]}: gateways as processes of their own under random faults, with the
 * promises checked. Prints the schedule, every violation and where the logs are, then one line of figures; the status is
 * 1 after a violation. Stateless.
 */
public final class GatewaySoakCommand implements BenchCommand {
    private static final String GATEWAYS = "gateways";
    private static final String USUAL_GATEWAYS = "6";
    private static final Duration HEALED = Duration.ofSeconds(40);
    private static final long LAST_ANSWERS_MILLIS = 12_000;
    private static final long POLL_MILLIS = 50;

    /** Held here, since a logger that nobody holds forgets its level. What breaks on purpose is no news. */
    private static final Logger HTTP_LOGGER = Logger.getLogger("org.eclipse.jetty");

    @Override
    public String name() {
        return "soak";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(Option.builder().longOpt(GATEWAYS).hasArg().get());
    }

    @Override
    public int run(BenchContext context, CommandLine line) throws Exception {
        int gateways = Integer.parseInt(line.getOptionValue(GATEWAYS, USUAL_GATEWAYS));
        return run(context.home(), context.seed(), context.seconds(), gateways)
                        .all()
                        .isEmpty()
                ? 0
                : 1;
    }

    /** Runs once; gives what broke a promise. */
    public static Violations run(Path home, long seed, int seconds, int gateways) throws Exception {
        HTTP_LOGGER.setLevel(Level.OFF);
        Violations violations = new Violations();
        Path folder = home.resolve("out").resolve("soak-" + seed);
        deleteFiles(folder);
        Calls calls = new Calls();
        GatewayFaults faults;
        try (GatewayWorld world = new GatewayWorld(home, folder, gateways)) {
            world.start();
            faults = new GatewayFaults(world, violations, seed, seconds * 1_000L);
            underLoad(world, faults, calls, violations, seed, seconds * 1_000L);
            heal(world, violations);
            new GatewayChecks(calls.all(), world.fleet().observedRequests(), world.disturbances(), violations).run();
        }
        report(seed, folder, faults, calls.all(), violations);
        return violations;
    }

    private static void deleteFiles(Path folder) throws IOException {
        if (Files.isDirectory(folder)) {
            try (var files = Files.list(folder)) {
                for (Path file : files.toList()) {
                    Files.delete(file);
                }
            }
        }
    }

    private static void underLoad(
            GatewayWorld world, GatewayFaults faults, Calls calls, Violations violations, long seed, long millis)
            throws InterruptedException {
        List<ConfigWatch> watches = new ArrayList<>();
        List<Thread> watching = new ArrayList<>();
        for (SoakGateway gateway : world.gateways()) {
            ConfigWatch watch = new ConfigWatch(gateway, world, violations);
            watches.add(watch);
            watching.add(start("watch-" + gateway.name(), watch));
        }
        Thread striking = start("faults", () -> {
            try {
                faults.run();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        new GatewayLoad(world, calls, seed).run(millis);
        striking.join();
        long until = StandInFleet.nowMillis() + LAST_ANSWERS_MILLIS;
        while (calls.open() > 0 && StandInFleet.nowMillis() < until) {
            Thread.sleep(POLL_MILLIS);
        }
        watches.forEach(ConfigWatch::end);
        for (Thread thread : watching) {
            thread.join();
        }
    }

    private static Thread start(String name, Runnable work) {
        Thread thread = new Thread(work, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** When all faults are over, every gateway serves again, and none has ended by itself. */
    private static void heal(GatewayWorld world, Violations violations) throws InterruptedException {
        for (SoakGateway gateway : world.gateways()) {
            if (!gateway.process().isAlive()) {
                violations.add("process", gateway.name() + " ended by itself");
                gateway.launch();
            }
        }
        try {
            world.awaitServing(HEALED);
        } catch (FleetException e) {
            violations.add("healed", e.getMessage());
        }
    }

    private static void report(long seed, Path folder, GatewayFaults faults, List<Call> calls, Violations violations) {
        if (!violations.all().isEmpty()) {
            System.out.println("schedule of seed " + seed + ", logs in " + folder + ":");
            faults.planned().forEach(fault -> System.out.println("  " + fault));
            violations.all().forEach(violation -> System.out.println("violation " + violation));
        }
        System.out.printf(
                Locale.ROOT,
                "seed=%d violations=%d requests=%d served=%d refused=%d unknown=%d left=%d faults=%d%n",
                seed,
                violations.all().size(),
                calls.size(),
                calls.stream()
                        .filter(call -> call.status() == 200 && call.isWhole())
                        .count(),
                calls.stream().filter(call -> call.status() == 503).count(),
                calls.stream()
                        .filter(call -> call.status() == 502 || call.status() == 504)
                        .count(),
                calls.stream().filter(Call::hasLeft).count(),
                faults.planned().size());
    }
}
