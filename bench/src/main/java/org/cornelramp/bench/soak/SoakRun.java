package org.cornelramp.bench.soak;

import java.nio.file.Path;
import java.time.Duration;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import org.cornelramp.bench.fleet.Fleet;
import org.cornelramp.bench.fleet.FleetException;
import org.cornelramp.bench.fleet.FleetPlan;
import org.cornelramp.bench.fleet.Member;
import org.cornelramp.bench.load.Callers;
import org.cornelramp.bench.load.ExpectedText;
import org.cornelramp.bench.load.Samples;

/** One randomised run: a fleet, load, faults, and the checks after the fleet has recovered. Confined to one thread. */
public final class SoakRun {
    private static final int LAYERS = 24;
    private static final Duration FINAL_ANSWERS_LIMIT = Duration.ofSeconds(60);
    private static final Duration RECOVERY_LIMIT = Duration.ofSeconds(40);
    private static final long CHECK_INTERVAL_MILLIS = 200;
    private static final int CHECKS_PER_EDIT = 10;
    private static final long LATE_EFFECTS_MILLIS = 3_000;

    private final Path home;
    private final long seed;
    private final int seconds;
    private final Violations violations;
    private final RequestOutcomes outcomes = new RequestOutcomes();
    private List<FaultRunner.InjectedFault> injectedFaults = List.of();
    private String checkedCounts = "";
    private long startNanos;

    /**
     * @param home folder of the checkout with the built jars
     * @param seed seed of faults and load
     * @param seconds length of the load
     */
    public SoakRun(Path home, long seed, int seconds, Violations violations) {
        this.home = home;
        this.seed = seed;
        this.seconds = seconds;
        this.violations = violations;
    }

    /** The outcomes of the requests. */
    public RequestOutcomes outcomes() {
        return outcomes;
    }

    /** The faults as they were injected. */
    public List<FaultRunner.InjectedFault> injectedFaults() {
        return injectedFaults;
    }

    /** One line with the counts of what was checked, the outcomes of the requests and the problems that callers got. */
    public String summary() {
        return checkedCounts + " ends=" + Samples.countsByEnd(outcomes.all()) + " problems="
                + Samples.countsByDetail(outcomes.all());
    }

    /** Starts the fleet, runs load and faults, and checks the invariants. */
    public void run() throws InterruptedException {
        FleetPlan plan = FleetPlan.small().withRelays().withTraceFiles();
        try (Fleet fleet = Fleet.start(home, plan);
                Operators operators = new Operators(fleet.entries(), violations);
                TableMonitor monitor = new TableMonitor(operators, violations)) {
            List<String> urls = fleet.entries().stream().map(Member::url).toList();
            try (Callers callers = new Callers(urls, Fleet::callerKey, new ExpectedText(LAYERS))) {
                runLoad(fleet, operators, monitor, callers);
            }
            awaitRecovery(fleet);
            checkTable(fleet, operators, monitor);
            Thread.sleep(LATE_EFFECTS_MILLIS);
            check(fleet, operators);
        }
    }

    private void check(Fleet fleet, Operators operators) {
        List<RanStep> steps = TraceReader.steps(fleet);
        Map<String, Integer> effects = TraceReader.effects(fleet);
        StepCheck.check(steps, violations);
        new OutcomeCheck(effects, injectedFaults, startNanos).check(outcomes, violations);
        checkedCounts = "effects=" + effects.size() + " steps=" + steps.size() + " edits="
                + operators.accepted().size();
    }

    private void runLoad(Fleet fleet, Operators operators, TableMonitor monitor, Callers callers)
            throws InterruptedException {
        long start = System.nanoTime();
        startNanos = start;
        FaultSchedule schedule = FaultSchedule.draw(seed, seconds, targets(fleet));
        FaultRunner faults = new FaultRunner(fleet, operators, violations, start);
        AtomicBoolean over = new AtomicBoolean();
        Thread faultThread = thread("faults", () -> faults.run(schedule));
        Thread monitorThread = thread("watch", () -> monitor(fleet, operators, monitor, over));
        new SoakLoad(
                        callers,
                        outcomes,
                        fleet.plan().organisations(),
                        fleet.entries().size(),
                        seed)
                .run(start, seconds);
        faultThread.join();
        try {
            Fleet.await("the last answers", FINAL_ANSWERS_LIMIT, () -> outcomes.openCount() == 0);
        } catch (FleetException e) {
            violations.add("answer", outcomes.openCount() + " requests got no final answer: " + e.getMessage());
        }
        over.set(true);
        monitorThread.join();
        injectedFaults = faults.injectedFaults();
    }

    private static Map<FaultKind.Target, Integer> targets(Fleet fleet) {
        Map<FaultKind.Target, Integer> targets = new EnumMap<>(FaultKind.Target.class);
        for (FaultKind.Target target : FaultKind.Target.values()) {
            long members = fleet.members().stream().filter(target::includes).count();
            targets.put(target, (int) Math.max(1, members));
        }
        return targets;
    }

    private static void monitor(Fleet fleet, Operators operators, TableMonitor monitor, AtomicBoolean over)
            throws InterruptedException {
        for (int round = 0; !over.get(); round++) {
            for (Member member : fleet.members()) {
                monitor.check(member);
            }
            if (round % CHECKS_PER_EDIT == 0) {
                operators.edit(round / CHECKS_PER_EDIT);
            }
            Thread.sleep(CHECK_INTERVAL_MILLIS);
        }
    }

    private void awaitRecovery(Fleet fleet) {
        fleet.setFaults(fleet.logUrl(), Map.of("outage", "", "stall-millis", "", "lose-answers", ""));
        fleet.setFaults(fleet.vmListUrl(), Map.of("outage", ""));
        for (Member member : fleet.members()) {
            member.backend().filter(b -> !b.isAlive()).ifPresent(b -> {
                violations.add("process", b.name() + " ended by itself");
                b.launch();
            });
            if (!member.daemon().isAlive()) {
                violations.add(
                        "process",
                        member.name() + " ended by itself:\n" + member.daemon().readOutput());
                member.daemon().launch();
            }
        }
        for (Member entry : fleet.entries()) {
            try {
                Fleet.await(entry.name() + " ready again", RECOVERY_LIMIT, () -> fleet.isReady(entry));
            } catch (FleetException e) {
                violations.add("healed", e.getMessage());
            }
        }
    }

    private void checkTable(Fleet fleet, Operators operators, TableMonitor monitor) {
        Operators.Accepted last = operators.accepted().stream()
                .max((a, b) -> Long.compare(a.version(), b.version()))
                .orElse(null);
        if (last == null) {
            return;
        }
        for (Member member : fleet.members()) {
            try {
                Fleet.await(
                        member.name() + " applies " + last,
                        RECOVERY_LIMIT,
                        () -> monitor.offset(member) > last.version());
            } catch (FleetException e) {
                violations.add("table", e.getMessage() + "; it applies " + monitor.offset(member));
            }
        }
        for (Member entry : fleet.entries()) {
            Operators.Shown shown = operators.readRow(entry);
            boolean reverted = shown == null
                    || shown.version() < last.version()
                    || (shown.version() == last.version() && shown.weight() != last.weight());
            if (reverted) {
                violations.add("table", entry.name() + " shows " + shown + " after " + last);
            }
        }
    }

    private static Thread thread(String name, InterruptibleTask work) {
        Thread thread = new Thread(
                () -> {
                    try {
                        work.run();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                },
                name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** A task that may be interrupted. */
    @FunctionalInterface
    private interface InterruptibleTask {
        void run() throws InterruptedException;
    }
}
