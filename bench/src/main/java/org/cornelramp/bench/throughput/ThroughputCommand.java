package org.cornelramp.bench.throughput;

import java.time.Duration;
import java.util.EnumMap;
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
import org.cornelramp.bench.load.Callers;
import org.cornelramp.bench.load.ChatMix;
import org.cornelramp.bench.load.EngineBound;
import org.cornelramp.bench.load.ExpectedText;
import org.cornelramp.bench.load.OpenLoop;
import org.cornelramp.bench.load.Samples;
import org.cornelramp.bench.measure.Plot;
import org.cornelramp.bench.measure.Results;
import org.cornelramp.core.selection.ChoicePolicy;

/**
 * {@code bench throughput}: measures the tokens per second in complete, in-deadline answers, divided by the upper bound
 * from the engines' speeds, for the policy of the product and for each baseline policy, on the same engines in the same
 * run. Stateless.
 *
 * <p>Three stages of three engines each, one of them half as fast; two entries for each policy; four organisations.
 * The load is a little above the bound, so that engines are never idle.
 */
public final class ThroughputCommand implements BenchCommand {
    private static final int LAYERS = 24;
    private static final int SLOTS = 16;
    private static final int ENTRIES = 2;
    private static final int PROMPT = 32;
    private static final int TOKENS = 16;
    private static final long DEADLINE_MILLIS = 8_000;
    private static final double OFFERED_OVER_BOUND = 1.1;
    private static final int[] DEMAND = {4, 3, 2, 1};
    private static final StagePlan FAST = new StagePlan("", "a100", 30_000, 750);
    private static final StagePlan SLOW = new StagePlan("", "l40", 60_000, 1_500);
    private static final List<String> RANGES = List.of("0:8:24", "8:16:24", "16:24:24");
    private static final double WARM_SECONDS = 7;
    private static final double WINDOW_SECONDS = 8;
    private static final Duration DRAIN_LIMIT = Duration.ofSeconds(12);
    private static final double NANOS_PER_SECOND = 1e9;

    @Override
    public String name() {
        return "throughput";
    }

    @Override
    public int run(BenchContext context, CommandLine line) throws Exception {
        List<StagePlan> stages = RANGES.stream()
                .flatMap(range -> List.of(at(range, FAST), at(range, FAST), at(range, SLOW)).stream())
                .toList();
        double bound = new EngineBound(stages, SLOTS).requestsPerSecond(PROMPT, TOKENS);
        Results results = context.results(name());
        results.put("bound_tokens_per_second", bound * TOKENS);
        results.put("offered_over_bound", OFFERED_OVER_BOUND);
        Map<ChoicePolicy, PolicyResult> resultsByPolicy = new EnumMap<>(ChoicePolicy.class);
        FleetPlan plan = new FleetPlan(0, stages, 0, 1, DEMAND.length, 1, false);
        try (Fleet fleet = Fleet.start(context.home(), plan)) {
            for (ChoicePolicy policy : ChoicePolicy.values()) {
                List<Member> entries = launch(fleet, policy);
                PolicyResult result = measure(context, entries, bound);
                resultsByPolicy.put(policy, result);
                results.put(policy.text(), result);
                System.out.printf(Locale.ROOT, "%s: %s%n", policy.text(), result);
                entries.forEach(entry -> stop(fleet, entry));
            }
        }
        report(results, resultsByPolicy);
        return 0;
    }

    private static StagePlan at(String range, StagePlan speed) {
        return new StagePlan(range, speed.accelerator(), speed.baseMicros(), speed.inputMicros());
    }

    private static List<Member> launch(Fleet fleet, ChoicePolicy policy) {
        for (int i = 0; i < ENTRIES; i++) {
            fleet.launchEntry(policy.text() + "-" + i, policy);
        }
        fleet.publishVms();
        List<Member> entries = fleet.entries();
        entries.forEach(fleet::awaitServing);
        return entries;
    }

    private static void stop(Fleet fleet, Member entry) {
        entry.daemon().kill();
        fleet.removeMember(entry.name());
    }

    private static PolicyResult measure(BenchContext context, List<Member> entries, double bound) {
        Samples samples = new Samples();
        ChatMix mix = new ChatMix(context.seed(), DEMAND, PROMPT, TOKENS, DEADLINE_MILLIS);
        double share = context.seconds() / 90.0;
        List<String> urls = entries.stream().map(Member::url).toList();
        try (Callers callers = new Callers(urls, Fleet::callerKey, new ExpectedText(LAYERS))) {
            long start = System.nanoTime();
            new OpenLoop(context.seed())
                    .run(OFFERED_OVER_BOUND * bound, start, (WARM_SECONDS + WINDOW_SECONDS) * share, due -> {
                        samples.countSent();
                        callers.chat(mix.next(), due, samples::add);
                    });
            Fleet.await("all requests ended", DRAIN_LIMIT, () -> samples.openCount() == 0);
            long from = start + (long) (WARM_SECONDS * share * NANOS_PER_SECOND);
            long to = from + (long) (WINDOW_SECONDS * share * NANOS_PER_SECOND);
            return PolicyResult.of(samples.all(), from, to, bound * TOKENS);
        }
    }

    private static void report(Results results, Map<ChoicePolicy, PolicyResult> resultsByPolicy) {
        double[] places = new double[resultsByPolicy.size()];
        double[] ratios = new double[resultsByPolicy.size()];
        resultsByPolicy.forEach((policy, result) -> {
            int place = List.copyOf(resultsByPolicy.keySet()).indexOf(policy);
            places[place] = place;
            ratios[place] = result.ratio();
            if (policy != ChoicePolicy.EXPECTED_COMPLETION) {
                results.figure("throughput_ratio_" + policy.text().replace('-', '_'), result.ratio());
                results.figure(
                        "first_token_p99_millis_" + policy.text().replace('-', '_'), result.firstTokenP99Millis());
            }
        });
        PolicyResult productResult = resultsByPolicy.get(ChoicePolicy.EXPECTED_COMPLETION);
        results.figure("first_token_p99_millis", productResult.firstTokenP99Millis());
        results.figure("throughput_ratio", productResult.ratio());
        Plot plot = new Plot("Throughput over the engines' bound", "choice, in the order of the results", "ratio");
        plot.line("ratio", places, ratios);
        plot.write(results.file(".png"));
        results.finish();
    }
}
