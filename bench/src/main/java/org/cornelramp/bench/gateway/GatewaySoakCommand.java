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
import org.cornelramp.platform.standin.ObservedRequest;
import org.cornelramp.platform.standin.StandInFleet;

/**
 * {@code soak --seed N --seconds S [--gateways G] [--notices] [--poison P] [--poison-parts K]
 * [--poison-failures SHARE] [--ports-held] [--resume-heavy]}: runs gateways as separate processes under random faults and checks
 * the guarantees of the product. After a violation it prints the schedule, the folder of the logs and every violation,
 * and exits with status 1. The last line holds the figures of the run. Stateless.
 */
public final class GatewaySoakCommand implements BenchCommand {
    private static final String GATEWAYS_OPTION = "gateways";
    private static final String NOTICES_OPTION = "notices";
    private static final String POISON_OPTION = "poison";
    private static final String POISON_PARTS_OPTION = "poison-parts";
    private static final String POISON_FAILURES_OPTION = "poison-failures";
    private static final String PORTS_HELD_OPTION = "ports-held";
    private static final String RESUME_HEAVY_OPTION = "resume-heavy";
    /** Keeps more streams open, of which each fault breaks some. */
    private static final double STREAM_SLOWDOWN = 3;

    private static final String DEFAULT_GATEWAYS = "6";
    private static final String DEFAULT_POISON = "0";
    private static final Duration RECOVERY_LIMIT = Duration.ofSeconds(40);
    private static final long FINAL_ANSWERS_MILLIS = 12_000;
    private static final long POLL_MILLIS = 50;

    /**
     * Strong reference: the level of a logger is lost when the logger is garbage collected. It is silenced because the
     * injected faults make it log expected failures.
     */
    private static final Logger HTTP_LOGGER = Logger.getLogger("org.eclipse.jetty");

    @Override
    public String name() {
        return "soak";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(Option.builder().longOpt(GATEWAYS_OPTION).hasArg().get())
                .addOption(Option.builder().longOpt(NOTICES_OPTION).get())
                .addOption(Option.builder().longOpt(RESUME_HEAVY_OPTION).get())
                .addOption(Option.builder().longOpt(POISON_OPTION).hasArg().get())
                .addOption(Option.builder()
                        .longOpt(POISON_FAILURES_OPTION)
                        .hasArg()
                        .get())
                .addOption(Option.builder().longOpt(PORTS_HELD_OPTION).get())
                .addOption(
                        Option.builder().longOpt(POISON_PARTS_OPTION).hasArg().get());
    }

    @Override
    public int run(BenchContext context, CommandLine line) throws Exception {
        SoakSettings settings = SoakSettings.of(
                        context.seed(),
                        context.seconds(),
                        Integer.parseInt(line.getOptionValue(GATEWAYS_OPTION, DEFAULT_GATEWAYS)))
                .withNotices(line.hasOption(NOTICES_OPTION))
                .withResumeHeavy(line.hasOption(RESUME_HEAVY_OPTION))
                .withPoison(
                        Integer.parseInt(line.getOptionValue(POISON_OPTION, DEFAULT_POISON)),
                        Integer.parseInt(line.getOptionValue(POISON_PARTS_OPTION, DEFAULT_POISON)))
                .withPoisonFailures(
                        Double.parseDouble(line.getOptionValue(POISON_FAILURES_OPTION, DEFAULT_POISON)),
                        line.hasOption(PORTS_HELD_OPTION));
        return run(context.home(), settings).all().isEmpty() ? 0 : 1;
    }

    /** Runs once and returns the violations of the guarantees. */
    public static Violations run(Path home, SoakSettings settings) throws Exception {
        long seed = settings.seed();
        boolean resumeHeavy = settings.resumeHeavy();
        SoakSettings.PoisonSettings poison = settings.poison();
        long loadMillis = settings.seconds() * 1_000L;
        HTTP_LOGGER.setLevel(Level.OFF);
        Violations violations = new Violations();
        Path folder = home.resolve("out").resolve("soak-" + seed);
        deleteFiles(folder);
        CallRecords calls = new CallRecords();
        GatewayFaultInjector faults;
        try (GatewayEnvironment environment = new GatewayEnvironment(home, folder, settings.gateways())) {
            environment.start();
            if (resumeHeavy) {
                environment.gateways().forEach(gateway -> gateway.clientRelay().setReadingSlowly(true));
                environment
                        .backends()
                        .forEach(backend -> backend.server().faults().setSlowdown(STREAM_SLOWDOWN));
            }
            PoisonRecords poisonRecords = new PoisonRecords();
            environment.backends().forEach(backend -> backend.answerUnframed(seed));
            environment
                    .backends()
                    .forEach(backend -> backend.crashUnder(poisonRecords, environment.faultHistory(), poison, seed));
            faults = new GatewayFaultInjector(
                    environment,
                    violations,
                    seed,
                    loadMillis,
                    GatewayFaultInjector.kinds(settings.notices(), resumeHeavy),
                    meanGapMillis(poison.parts(), resumeHeavy));
            GatewayLoad load =
                    new GatewayLoad(environment, calls, poison.requests(), poison.parts(), resumeHeavy, seed);
            runLoad(environment, load, faults, calls, violations, loadMillis);
            awaitRecovery(environment, violations);
            GatewayChecks checks = new GatewayChecks(
                    calls.all(), environment.fleet().observedRequests(), environment.faultHistory(), violations);
            checks.run();
            System.out.println(checks.summaryOfStreams());
            new NoticeChecks(
                            calls.all(), environment.fleet().observedRequests(), environment.faultHistory(), violations)
                    .run();
            new PoisonChecks(
                            calls.all(),
                            environment.fleet().observedRequests(),
                            poisonRecords,
                            environment.faultHistory(),
                            violations)
                    .run(poison.requests(), poison.parts());
            reportUnframed(environment.fleet().observedRequests());
        }
        report(seed, folder, faults, calls.all(), violations);
        return violations;
    }

    private static int meanGapMillis(int poisonParts, boolean resumeHeavy) {
        if (resumeHeavy) {
            return GatewayFaultInjector.STREAM_FAULTS_MEAN_GAP_MILLIS;
        }
        return poisonParts > 0 ? GatewayFaultInjector.LONG_MEAN_GAP_MILLIS : GatewayFaultInjector.MEAN_GAP_MILLIS;
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

    private static void runLoad(
            GatewayEnvironment environment,
            GatewayLoad load,
            GatewayFaultInjector faults,
            CallRecords calls,
            Violations violations,
            long millis)
            throws InterruptedException {
        List<ConfigMonitor> monitors = new ArrayList<>();
        List<Thread> monitorThreads = new ArrayList<>();
        for (SoakGateway gateway : environment.gateways()) {
            ConfigMonitor monitor = new ConfigMonitor(gateway, environment, violations);
            monitors.add(monitor);
            monitorThreads.add(start("watch-" + gateway.name(), monitor));
        }
        Thread faultThread = start("faults", () -> {
            try {
                faults.run();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        load.run(millis);
        faultThread.join();
        long until = StandInFleet.nowMillis() + FINAL_ANSWERS_MILLIS;
        while (calls.openCount() + load.resumingCount() > 0 && StandInFleet.nowMillis() < until) {
            Thread.sleep(POLL_MILLIS);
        }
        monitors.forEach(ConfigMonitor::stop);
        for (Thread thread : monitorThreads) {
            thread.join();
        }
    }

    private static Thread start(String name, Runnable work) {
        Thread thread = new Thread(work, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Checks that after all faults every gateway serves again and that none has exited by itself. */
    private static void awaitRecovery(GatewayEnvironment environment, Violations violations)
            throws InterruptedException {
        for (SoakGateway gateway : environment.gateways()) {
            if (!gateway.process().isAlive()) {
                violations.add("process", gateway.name() + " ended by itself");
                gateway.launch();
            }
        }
        try {
            environment.awaitServing(RECOVERY_LIMIT);
        } catch (FleetException e) {
            violations.add("healed", e.getMessage());
        }
    }

    private static void reportUnframed(List<ObservedRequest> observed) {
        List<ObservedRequest> unframed =
                observed.stream().filter(ObservedRequest::isUnframed).toList();
        System.out.printf(
                Locale.ROOT,
                "unframed answers: %d, of these cut by the end of their server: %d%n",
                unframed.size(),
                unframed.stream().filter(ObservedRequest::isCut).count());
    }

    private static void report(
            long seed, Path folder, GatewayFaultInjector faults, List<Call> calls, Violations violations) {
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
                        .filter(call -> call.status() == 200 && call.isComplete())
                        .count(),
                calls.stream().filter(call -> call.status() == 503).count(),
                calls.stream()
                        .filter(call -> call.status() == 502 || call.status() == 504)
                        .count(),
                calls.stream().filter(Call::hasDisconnected).count(),
                faults.planned().size());
    }
}
