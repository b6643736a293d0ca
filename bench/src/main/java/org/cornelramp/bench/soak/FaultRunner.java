package org.cornelramp.bench.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.cornelramp.bench.fleet.Fleet;
import org.cornelramp.bench.fleet.FleetException;
import org.cornelramp.bench.fleet.Member;

/** Injects the faults of a schedule, each on a separate thread. Safe for use by any thread. */
public final class FaultRunner {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final Fleet fleet;
    private final Operators operators;
    private final Violations violations;
    private final long startNanos;
    private final List<InjectedFault> injectedFaults = new ArrayList<>();
    private final ExecutorService threads = Executors.newCachedThreadPool(work -> {
        Thread thread = new Thread(work, "fault");
        thread.setDaemon(true);
        return thread;
    });

    /**
     * @param startNanos start of the load, of {@link System#nanoTime}
     */
    public FaultRunner(Fleet fleet, Operators operators, Violations violations, long startNanos) {
        this.fleet = fleet;
        this.operators = operators;
        this.violations = violations;
        this.startNanos = startNanos;
    }

    /** A fault as it was injected. Immutable, safe for use by any thread. */
    public record InjectedFault(PlannedFault fault, String member, long beginNanos, long endNanos) {}

    /** Runs the whole schedule and waits until the last fault has ended. */
    public void run(FaultSchedule schedule) throws InterruptedException {
        for (PlannedFault fault : schedule.faults()) {
            sleepUntil(startNanos + fault.startMillis() * NANOS_PER_MILLI);
            threads.execute(() -> inject(fault));
        }
        threads.shutdown();
        if (!threads.awaitTermination(2, TimeUnit.MINUTES)) {
            violations.add("fault", "a fault did not end within two minutes of the last");
        }
    }

    /** The faults that have ended, in the order of their end. */
    public synchronized List<InjectedFault> injectedFaults() {
        return List.copyOf(injectedFaults);
    }

    private void inject(PlannedFault fault) {
        List<Member> members =
                fleet.members().stream().filter(fault.kind().target()::includes).toList();
        Member member = members.isEmpty() ? null : members.get(fault.targetIndex());
        FaultKind.FaultContext context = new FaultKind.FaultContext(fleet, member, operators, violations);
        long begin = System.nanoTime();
        try {
            fault.kind().begin(context);
            sleepUntil(begin + fault.durationMillis() * NANOS_PER_MILLI);
            fault.kind().end(context);
        } catch (FleetException e) {
            violations.add("fault", fault + " could not be injected: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        String name = member == null ? fault.kind().target().name() : member.name();
        add(new InjectedFault(fault, name, begin, System.nanoTime()));
    }

    private synchronized void add(InjectedFault fault) {
        injectedFaults.add(fault);
    }

    private static void sleepUntil(long nanos) throws InterruptedException {
        long left = nanos - System.nanoTime();
        if (left > 0) {
            TimeUnit.NANOSECONDS.sleep(left);
        }
    }
}
