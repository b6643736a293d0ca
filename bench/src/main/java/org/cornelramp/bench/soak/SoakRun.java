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

/** One randomised run: a fleet, load, faults, and the checks once all is healed. Confined to one thread. */
public final class SoakRun {
    private static final int LAYERS = 24;
    private static final Duration LAST_ANSWERS = Duration.ofSeconds(60);
    private static final Duration HEALED = Duration.ofSeconds(40);
    private static final long WATCH_MILLIS = 200;
    private static final int LOOKS_FOR_EACH_EDIT = 10;
    private static final long LATE_EFFECTS_MILLIS = 3_000;

    private final Path home;
    private final long seed;
    private final int seconds;
    private final Violations violations;
    private final Ledger ledger = new Ledger();
    private List<FaultRunner.Struck> struck = List.of();
    private String seen = "";
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

    /** How the requests ended. */
    public Ledger ledger() {
        return ledger;
    }

    /** The faults as they happened. */
    public List<FaultRunner.Struck> struck() {
        return struck;
    }

    /** What was checked, how the requests ended and which problems callers were told, as one line. */
    public String summary() {
        return seen + " ends=" + Samples.ends(ledger.all()) + " problems=" + Samples.details(ledger.all());
    }

    /** Runs it all. */
    public void run() throws InterruptedException {
        FleetPlan plan = FleetPlan.small().withRelays().withTraceFiles();
        try (Fleet fleet = Fleet.start(home, plan);
                Operators operators = new Operators(fleet.entries(), violations);
                TableWatch watch = new TableWatch(operators, violations)) {
            List<String> urls = fleet.entries().stream().map(Member::url).toList();
            try (Callers callers = new Callers(urls, Fleet::callerKey, new ExpectedText(LAYERS))) {
                underLoad(fleet, operators, watch, callers);
            }
            heal(fleet);
            checkTable(fleet, operators, watch);
            Thread.sleep(LATE_EFFECTS_MILLIS);
            check(fleet, operators);
        }
    }

    private void check(Fleet fleet, Operators operators) {
        List<RanStep> steps = TraceReader.steps(fleet);
        Map<String, Integer> effects = TraceReader.effects(fleet);
        StepCheck.check(steps, violations);
        new OutcomeCheck(effects, struck, startNanos).check(ledger, violations);
        seen = "effects=" + effects.size() + " steps=" + steps.size() + " edits="
                + operators.accepted().size();
    }

    private void underLoad(Fleet fleet, Operators operators, TableWatch watch, Callers callers)
            throws InterruptedException {
        long start = System.nanoTime();
        startNanos = start;
        FaultSchedule schedule = FaultSchedule.draw(seed, seconds, targets(fleet));
        FaultRunner faults = new FaultRunner(fleet, operators, violations, start);
        AtomicBoolean over = new AtomicBoolean();
        Thread faulting = thread("faults", () -> faults.run(schedule));
        Thread watching = thread("watch", () -> watch(fleet, operators, watch, over));
        new SoakLoad(
                        callers,
                        ledger,
                        fleet.plan().organisations(),
                        fleet.entries().size(),
                        seed)
                .run(start, seconds);
        faulting.join();
        try {
            Fleet.await("the last answers", LAST_ANSWERS, () -> ledger.open() == 0);
        } catch (FleetException e) {
            violations.add("answer", ledger.open() + " requests got no final word: " + e.getMessage());
        }
        over.set(true);
        watching.join();
        struck = faults.struck();
    }

    private static Map<FaultKind.Target, Integer> targets(Fleet fleet) {
        Map<FaultKind.Target, Integer> targets = new EnumMap<>(FaultKind.Target.class);
        for (FaultKind.Target target : FaultKind.Target.values()) {
            long members = fleet.members().stream().filter(target::takes).count();
            targets.put(target, (int) Math.max(1, members));
        }
        return targets;
    }

    private static void watch(Fleet fleet, Operators operators, TableWatch watch, AtomicBoolean over)
            throws InterruptedException {
        for (int look = 0; !over.get(); look++) {
            for (Member member : fleet.members()) {
                watch.look(member);
            }
            if (look % LOOKS_FOR_EACH_EDIT == 0) {
                operators.edit(look / LOOKS_FOR_EACH_EDIT);
            }
            Thread.sleep(WATCH_MILLIS);
        }
    }

    private void heal(Fleet fleet) {
        fleet.faults(fleet.logUrl(), Map.of("outage", "", "stall-millis", "", "lose-answers", ""));
        fleet.faults(fleet.vmListUrl(), Map.of("outage", ""));
        for (Member member : fleet.members()) {
            member.backend().filter(b -> !b.isAlive()).ifPresent(b -> {
                violations.add("process", b.name() + " ended by itself");
                b.launch();
            });
            if (!member.daemon().isAlive()) {
                violations.add(
                        "process",
                        member.name() + " ended by itself:\n" + member.daemon().text());
                member.daemon().launch();
            }
        }
        for (Member entry : fleet.entries()) {
            try {
                Fleet.await(entry.name() + " ready again", HEALED, () -> fleet.isReady(entry));
            } catch (FleetException e) {
                violations.add("healed", e.getMessage());
            }
        }
    }

    private void checkTable(Fleet fleet, Operators operators, TableWatch watch) {
        Operators.Accepted last = operators.accepted().stream()
                .max((a, b) -> Long.compare(a.version(), b.version()))
                .orElse(null);
        if (last == null) {
            return;
        }
        for (Member member : fleet.members()) {
            try {
                Fleet.await(member.name() + " applies " + last, HEALED, () -> watch.offset(member) > last.version());
            } catch (FleetException e) {
                violations.add("table", e.getMessage() + "; it applies " + watch.offset(member));
            }
        }
        for (Member entry : fleet.entries()) {
            Operators.Shown shown = operators.shown(entry);
            boolean reverted = shown == null
                    || shown.version() < last.version()
                    || (shown.version() == last.version() && shown.weight() != last.weight());
            if (reverted) {
                violations.add("table", entry.name() + " shows " + shown + " after " + last);
            }
        }
    }

    private static Thread thread(String name, Work work) {
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

    /** Work that may be interrupted. */
    @FunctionalInterface
    private interface Work {
        void run() throws InterruptedException;
    }
}
