package org.cornelramp.bench.overload;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.apache.commons.cli.CommandLine;
import org.cornelramp.bench.BenchCommand;
import org.cornelramp.bench.BenchContext;
import org.cornelramp.bench.fleet.Fleet;
import org.cornelramp.bench.fleet.FleetPlan;
import org.cornelramp.bench.fleet.Member;
import org.cornelramp.bench.fleet.StagePlan;
import org.cornelramp.bench.load.CallEnd;
import org.cornelramp.bench.load.Callers;
import org.cornelramp.bench.load.ChatMix;
import org.cornelramp.bench.load.EngineBound;
import org.cornelramp.bench.load.ExpectedText;
import org.cornelramp.bench.load.OpenLoop;
import org.cornelramp.bench.load.Sample;
import org.cornelramp.bench.load.Samples;
import org.cornelramp.bench.measure.Plot;
import org.cornelramp.bench.measure.Results;

/**
 * {@code bench overload}: measures the ratio of in-deadline goodput at three times the capacity to that at capacity,
 * and the share of each organisation against its weight. Stateless.
 *
 * <p>Four organisations with weights in the ratio 1 to 4 send the same load each, so that at three times the capacity
 * each demands more than its share.
 */
public final class OverloadCommand implements BenchCommand {
    private static final int LAYERS = 24;
    private static final int SLOTS = 16;
    private static final int PROMPT = 32;
    private static final int TOKENS = 16;
    private static final long DEADLINE_MILLIS = 6_000;
    private static final double OVERLOAD_FACTOR = 3;
    private static final int[] WEIGHTS = {10, 20, 30, 40};
    private static final int[] DEMAND = {1, 1, 1, 1};
    private static final double WARM_SECONDS = 6;
    private static final double WINDOW_SECONDS = 15;
    private static final Duration DRAIN_LIMIT = Duration.ofSeconds(10);
    private static final double NANOS_PER_SECOND = 1e9;

    @Override
    public String name() {
        return "overload";
    }

    @Override
    public int run(BenchContext context, CommandLine line) throws Exception {
        List<StagePlan> stages = List.of("0:8:24", "8:16:24", "16:24:24").stream()
                .flatMap(range ->
                        List.of(new StagePlan(range, "a100", 20_000, 500), new StagePlan(range, "l40", 30_000, 750))
                                .stream())
                .toList();
        double bound = new EngineBound(stages, SLOTS).requestsPerSecond(PROMPT, TOKENS);
        Results results = context.results(name());
        results.put("bound_tokens_per_second", bound * TOKENS);
        List<Sample> atCapacity;
        List<Sample> over;
        try (Fleet fleet = Fleet.start(context.home(), new FleetPlan(2, stages, 0, 1, WEIGHTS.length, 1, false))) {
            setWeights(fleet);
            atCapacity = measure(context, fleet, bound);
            over = measure(context, fleet, OVERLOAD_FACTOR * bound);
        }
        report(results, atCapacity, over, WINDOW_SECONDS * context.seconds() / 90.0);
        results.finish();
        return 0;
    }

    /**
     * The first edits of the fleet have the offsets from 0 on, two for each organisation; the version of a row is the
     * offset of its edit.
     */
    private static void setWeights(Fleet fleet) throws InterruptedException {
        for (int i = 0; i < WEIGHTS.length; i++) {
            fleet.appendEdit("org-" + i, FleetPlan.MODEL, 2L * i, Fleet.rowValues(i, WEIGHTS[i]));
        }
        Thread.sleep(1_000);
    }

    private static List<Sample> measure(BenchContext context, Fleet fleet, double perSecond) {
        Samples samples = new Samples();
        ChatMix mix = new ChatMix(context.seed(), DEMAND, PROMPT, TOKENS, DEADLINE_MILLIS);
        double share = context.seconds() / 90.0;
        List<String> urls = fleet.entries().stream().map(Member::url).toList();
        try (Callers callers = new Callers(urls, Fleet::callerKey, new ExpectedText(LAYERS))) {
            long start = System.nanoTime();
            double seconds = (WARM_SECONDS + WINDOW_SECONDS) * share;
            new OpenLoop(context.seed()).run(perSecond, start, seconds, due -> {
                samples.countSent();
                callers.chat(mix.next(), due, samples::add);
            });
            Fleet.await("all requests ended", DRAIN_LIMIT, () -> samples.openCount() == 0);
            long from = start + (long) (WARM_SECONDS * share * NANOS_PER_SECOND);
            long to = from + (long) (WINDOW_SECONDS * share * NANOS_PER_SECOND);
            List<Sample> ended = samples.all().stream()
                    .filter(sample -> sample.endNanos() >= from && sample.endNanos() < to)
                    .toList();
            System.out.printf(
                    Locale.ROOT,
                    "offered %.1f/s: %s %s%n",
                    perSecond,
                    Samples.countsByEnd(ended),
                    Samples.countsByDetail(ended));
            return ended;
        }
    }

    private static void report(Results results, List<Sample> atCapacity, List<Sample> over, double seconds) {
        results.put("at_capacity", Samples.countsByEnd(atCapacity));
        results.put("over_capacity", Samples.countsByEnd(over));
        results.put("problems_over_capacity", Samples.countsByDetail(over));
        results.figure("goodput_tokens_per_second_at_capacity", Samples.tokensInTime(atCapacity) / seconds);
        results.figure("goodput_tokens_per_second_over_capacity", Samples.tokensInTime(over) / seconds);
        double[] shares = shares(over);
        double[] weights = new double[WEIGHTS.length];
        double worst = 0;
        for (int i = 0; i < WEIGHTS.length; i++) {
            weights[i] = WEIGHTS[i] / (double) Arrays.stream(WEIGHTS).sum();
            results.figure("share_org_" + i, shares[i]);
            worst = Math.max(worst, Math.abs(shares[i] - weights[i]));
        }
        results.put("weights", Map.of("organisations", weights));
        results.figure("worst_share_error", worst);
        double base = Samples.tokensInTime(atCapacity);
        results.figure("goodput_ratio", base == 0 ? 0 : Samples.tokensInTime(over) / base);
        Plot plot = new Plot("Shares at three times the capacity", "organisation", "share of goodput");
        double[] places = {0, 1, 2, 3};
        plot.line("share", places, shares);
        plot.line("weight", places, weights);
        plot.write(results.file(".png"));
    }

    private static double[] shares(List<Sample> samples) {
        double[] tokens = new double[WEIGHTS.length];
        samples.stream()
                .filter(sample -> sample.end() == CallEnd.IN_TIME)
                .forEach(sample -> tokens[sample.organisation()] += sample.tokens());
        double sum = Math.max(1, Arrays.stream(tokens).sum());
        return Arrays.stream(tokens).map(each -> each / sum).toArray();
    }
}
