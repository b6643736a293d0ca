package org.cornelramp.gateway.route;

import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.RandomDistribution;
import net.jqwik.api.Tuple;
import net.jqwik.api.constraints.IntRange;

/**
 * Whatever engines, peers, clients and time do, and in whatever order the router learns of it, a started stream goes on
 * until it is complete, its client leaves, or its deadline passes.
 */
class RouterHistoryProperties {

    @Property(tries = 800, seed = "4017")
    void startedStreamsGoOn(
            @ForAll("reserves") int reserve,
            @ForAll @IntRange(min = 1, max = 2) int pairs,
            @ForAll("histories") List<HistoryStep> steps) {
        new RouterHistory(reserve, pairs, false).play(steps);
    }

    @Provide
    Arbitrary<Integer> reserves() {
        return Arbitraries.of(0, 5, 400);
    }

    /** Guards against started streams on which nothing acts after an exception in the handling of an attempt's end. */
    @Property(tries = 800, seed = "4018")
    void startedStreamsGoOnAfterExceptions(
            @ForAll("reserves") int reserve,
            @ForAll @IntRange(min = 1, max = 2) int pairs,
            @ForAll("historiesWithFaults") List<HistoryStep> steps) {
        new RouterHistory(reserve, pairs, false).play(steps);
    }

    /** Guards against waiting streams that run too often, are promised too much, or on which nothing acts any more. */
    @Property(tries = 800, seed = "4019")
    void startedStreamsGoOnBesideWaitingOnes(
            @ForAll("reserves") int reserve,
            @ForAll @IntRange(min = 1, max = 2) int pairs,
            @ForAll("historiesWithFaults") List<HistoryStep> steps) {
        new RouterHistory(reserve, pairs, true).play(steps);
    }

    @Provide
    Arbitrary<List<HistoryStep>> histories() {
        return histories(HistoryStep.actionsWithoutFaults());
    }

    @Provide
    Arbitrary<List<HistoryStep>> historiesWithFaults() {
        return histories(HistoryStep.Action.values());
    }

    private static Arbitrary<List<HistoryStep>> histories(HistoryStep.Action[] from) {
        Arbitrary<HistoryStep.Action> actions = Arbitraries.frequency(
                Stream.of(from).map(action -> Tuple.of(action.weight(), action)).toArray(Tuple.Tuple2[]::new));
        Arbitrary<HistoryStep> step = Combinators.combine(
                        actions, Arbitraries.integers().between(0, 9))
                .as(HistoryStep::new);
        Arbitrary<List<HistoryStep>> steps =
                step.list().ofMinSize(1).ofMaxSize(100).withSizeDistribution(RandomDistribution.uniform());
        return Combinators.combine(steps, omittedActions(from)).as(RouterHistoryProperties::omit);
    }

    /** Some failures need a few kinds of events often and others never, so each history omits many actions. */
    private static Arbitrary<Set<HistoryStep.Action>> omittedActions(HistoryStep.Action[] from) {
        return Arbitraries.of(from)
                .filter(action -> action != HistoryStep.Action.STREAM)
                .set()
                .ofMinSize(0)
                .ofMaxSize(24)
                .withSizeDistribution(RandomDistribution.uniform());
    }

    private static List<HistoryStep> omit(List<HistoryStep> steps, Set<HistoryStep.Action> omitted) {
        return steps.stream().filter(step -> !omitted.contains(step.action())).toList();
    }
}
