package org.cornelramp.bench.recovery;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.commons.cli.CommandLine;
import org.cornelramp.bench.BenchCommand;
import org.cornelramp.bench.BenchContext;
import org.cornelramp.bench.fleet.Fleet;
import org.cornelramp.bench.fleet.FleetPlan;
import org.cornelramp.bench.fleet.Member;
import org.cornelramp.bench.fleet.StagePlan;
import org.cornelramp.bench.load.Callers;
import org.cornelramp.bench.load.ChatMix;
import org.cornelramp.bench.load.ExpectedText;
import org.cornelramp.bench.load.OpenLoop;
import org.cornelramp.bench.load.Samples;
import org.cornelramp.bench.load.ServiceCallPlan;
import org.cornelramp.bench.measure.Plot;
import org.cornelramp.bench.measure.Results;

/**
 * {@code bench recovery}: measures the time from a fault until in-deadline answers are back at 95% of the steady rate,
 * for each fault with the log service up and down. Stateless.
 *
 * <p>Callers send chats and bookings at an even rate well below the capacity, and go to the next entry when a
 * connection is refused or cut.
 */
public final class RecoveryCommand implements BenchCommand {
    private static final int LAYERS = 24;
    private static final double REQUESTS_PER_SECOND = 80;
    private static final int PROMPT = 24;
    private static final int TOKENS = 12;
    private static final long DEADLINE_MILLIS = 5_000;
    private static final double JIT_WARM_UP_SECONDS = 5;
    private static final double STEADY_SECONDS = 2;
    private static final double AFTER_SECONDS = 3;
    private static final Duration END_LIMIT = Duration.ofSeconds(8);
    private static final double NANOS_PER_SECOND = 1e9;
    private static final int[] DEMAND = {1, 1};

    @Override
    public String name() {
        return "recovery";
    }

    @Override
    public int run(BenchContext context, CommandLine line) throws Exception {
        Results results = context.results(name());
        Map<String, Recovery> recoveries = new LinkedHashMap<>();
        long duplicateEffects;
        try (Fleet fleet = Fleet.start(context.home(), plan())) {
            warmUp(context, fleet);
            for (boolean logDown : new boolean[] {false, true}) {
                for (Fault fault : Fault.values()) {
                    String key = fault.name().toLowerCase(Locale.ROOT) + (logDown ? "_log_down" : "");
                    Recovery recovery = measure(context, fleet, fault, logDown);
                    recoveries.put(key, recovery);
                    System.out.printf(Locale.ROOT, "%s: %s%n", key, recovery);
                }
            }
            duplicateEffects = DuplicateEffects.count(fleet);
        }
        report(results, recoveries, duplicateEffects);
        return 0;
    }

    private static FleetPlan plan() {
        List<StagePlan> stages = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            for (String range : List.of("0:8:24", "8:16:24", "16:24:24")) {
                stages.add(new StagePlan(range, "a100", 2_000, 50));
            }
        }
        return new FleetPlan(2, stages, 2, 10, DEMAND.length, 1, true);
    }

    /**
     * Warms up the JIT compilers of new processes, so that compilation does not count in the recovery from the first
     * fault.
     */
    private static void warmUp(BenchContext context, Fleet fleet) {
        Samples samples = new Samples();
        List<String> urls = fleet.entries().stream().map(Member::url).toList();
        try (Callers callers = new Callers(urls, Fleet::callerKey, new ExpectedText(LAYERS))) {
            Load load = new Load(callers, samples, context.seed() + 1);
            new OpenLoop(context.seed())
                    .runEvenly(REQUESTS_PER_SECOND, System.nanoTime(), JIT_WARM_UP_SECONDS, load::send);
            Fleet.await("all requests of the warm-up ended", END_LIMIT, () -> samples.openCount() == 0);
        }
    }

    private static Recovery measure(BenchContext context, Fleet fleet, Fault fault, boolean logDown) {
        Fault.awaitRecovered(fleet);
        fleet.setFaults(fleet.logUrl(), Map.of("outage", logDown ? "true" : ""));
        Samples samples = new Samples();
        List<String> urls = fleet.entries().stream().map(Member::url).toList();
        long start;
        long faultNanos;
        try (Callers callers = new Callers(urls, Fleet::callerKey, new ExpectedText(LAYERS))) {
            Load load = new Load(callers, samples, context.seed());
            OpenLoop loop = new OpenLoop(context.seed());
            load.warmUp(loop);
            start = System.nanoTime();
            loop.runEvenly(REQUESTS_PER_SECOND, start, STEADY_SECONDS, load::send);
            faultNanos = System.nanoTime();
            Thread faultThread = new Thread(() -> fault.inject(fleet), "striker");
            faultThread.start();
            loop.runEvenly(REQUESTS_PER_SECOND, faultNanos, AFTER_SECONDS, load::send);
            Fleet.await("all requests ended", END_LIMIT, () -> samples.openCount() == 0);
        } finally {
            fleet.setFaults(fleet.logUrl(), Map.of("outage", ""));
            fault.end(fleet);
        }
        long before = faultNanos - (long) (NANOS_PER_SECOND / 2);
        return Recovery.of(
                samples.plannedIn(start, before),
                samples.plannedIn(before, faultNanos + (long) (AFTER_SECONDS * NANOS_PER_SECOND)),
                faultNanos);
    }

    private static void report(Results results, Map<String, Recovery> recoveries, long duplicateEffects) {
        double worst = 0;
        long lost = 0;
        double[] places = new double[recoveries.size()];
        double[] millis = new double[recoveries.size()];
        int place = 0;
        for (Map.Entry<String, Recovery> entry : recoveries.entrySet()) {
            Recovery recovery = entry.getValue();
            results.put(entry.getKey(), recovery);
            results.figure("recovery_ms_" + entry.getKey(), recovery.millis());
            results.figure("lost_" + entry.getKey(), (double) recovery.lost());
            worst = Math.max(worst, recovery.millis());
            lost += recovery.lost();
            places[place] = place;
            millis[place++] = recovery.millis();
        }
        results.figure("doubled_effects", (double) duplicateEffects);
        results.figure("lost", (double) lost);
        results.figure("recovery_ms", worst);
        Plot plot = new Plot("Time to recover", "fault, in the order of the results", "milliseconds");
        plot.line("recovery", places, millis);
        plot.write(results.file(".png"));
        results.finish();
    }

    /** Sends chats and bookings alternately. Confined to one thread. */
    private static final class Load {
        private static final double WARM_UP_SECONDS = 0.7;

        private final Callers callers;
        private final Samples samples;
        private final ChatMix mix;
        private final AtomicInteger number = new AtomicInteger();

        Load(Callers callers, Samples samples, long seed) {
            this.callers = callers;
            this.samples = samples;
            this.mix = new ChatMix(seed, DEMAND, PROMPT, TOKENS, DEADLINE_MILLIS);
        }

        void warmUp(OpenLoop loop) {
            loop.runEvenly(REQUESTS_PER_SECOND, System.nanoTime(), WARM_UP_SECONDS, this::send);
        }

        void send(long due) {
            int next = number.getAndIncrement();
            samples.countSent();
            if (next % 2 == 0) {
                callers.chat(mix.next(), due, samples::add);
            } else {
                ServiceCallPlan booking = new ServiceCallPlan(
                        next / 2 % DEMAND.length, next / 2, "{\"booking\":" + next + "}", DEADLINE_MILLIS);
                callers.book(booking, due, samples::add);
            }
        }
    }
}
