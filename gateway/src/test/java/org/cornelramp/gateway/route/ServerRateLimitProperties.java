package org.cornelramp.gateway.route;

import java.util.List;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** However gateways come and go and limits change, a server gets no more than its limit allows. */
class ServerRateLimitProperties {
    /** What happens to the gateways or the limited server. */
    private enum Event {
        NONE {
            @Override
            void apply(LimitedFleet fleet, int value) {
                // only time passes
            }
        },
        RESTART_GATEWAY {
            @Override
            void apply(LimitedFleet fleet, int value) {
                fleet.restartGateway(value);
            }
        },
        STOP_GATEWAY {
            @Override
            void apply(LimitedFleet fleet, int value) {
                fleet.stopGateway(value);
            }
        },
        ADD_GATEWAY {
            @Override
            void apply(LimitedFleet fleet, int value) {
                fleet.addGateway();
            }
        },
        LOSE_UPDATES {
            @Override
            void apply(LimitedFleet fleet, int value) {
                fleet.setUpdateLoss(value % 4 * 0.1);
            }
        };

        abstract void apply(LimitedFleet fleet, int value);
    }

    private record Step(Event event, int value, int seconds, double demand) {}

    @Property(tries = 60, seed = "4301")
    void limitIsKept(
            @ForAll("gatewayCounts") int gateways,
            @ForAll("rates") double rate,
            @ForAll boolean hasOther,
            @ForAll("steps") List<Step> steps,
            @ForAll long seed) {
        LimitedFleet fleet = new LimitedFleet(gateways, hasOther, seed);
        fleet.run(500, 2);
        fleet.setLimit(Optional.of(String.valueOf(rate)));
        long named = fleet.now();
        for (Step step : steps) {
            step.event().apply(fleet, step.value());
            fleet.run(1_000L * step.seconds(), step.demand());
        }
        long most = fleet.mostArrivals(named + LimitedFleet.SETTLE_MILLIS, fleet.now());
        if (most > LimitedFleet.allowed(rate)) {
            throw new AssertionError(most + " requests in 4 s; allowed " + LimitedFleet.allowed(rate));
        }
    }

    @Provide
    Arbitrary<Integer> gatewayCounts() {
        return Arbitraries.of(1, 2, 4, 9, 10, 28);
    }

    @Provide
    Arbitrary<Double> rates() {
        return Arbitraries.of(0.0, 0.2, 0.5, 1.0, 2.0, 5.0, 12.0, 20.0, 50.0);
    }

    @Provide
    Arbitrary<List<Step>> steps() {
        return Combinators.combine(
                        Arbitraries.of(Event.values()),
                        Arbitraries.integers().between(0, 30),
                        Arbitraries.integers().between(1, 6),
                        Arbitraries.of(0.2, 2.0, 10.0))
                .as(Step::new)
                .list()
                .ofMinSize(2)
                .ofMaxSize(8);
    }
}
