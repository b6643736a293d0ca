package org.cornelramp.gateway.route;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.fleet.ServerState;
import org.cornelramp.gateway.GatewayFixture;
import org.cornelramp.platform.standin.HeaderFixtures;
import org.cornelramp.platform.standin.StandInConfig;

/** Whatever servers answer and however they register, none is turned to in the rest that it has asked for. */
class RequestedRestProperties {
    private static final int FIRST_PORT = 11;
    private static final long REACTION_MILLIS = 500;

    /** Kind of a step, whose value selects the server or the call that it affects. */
    private enum Action {
        REQUEST,
        ASK_FOR_REST,
        STREAM,
        EVENT,
        CUT,
        UNREGISTER,
        REGISTER,
        SILENCE,
        TICK,
        RUN
    }

    private record Step(Action action, int value) {}

    private record Rest(int port, long fromMillis, long untilMillis) {}

    @Property(tries = 400, seed = "4302")
    void restIsKept(@ForAll("steps") List<Step> steps) {
        new History().play(steps);
    }

    @Provide
    Arbitrary<List<Step>> steps() {
        return Combinators.combine(
                        Arbitraries.of(Action.values()), Arbitraries.integers().between(0, 11))
                .as(Step::new)
                .list()
                .ofMinSize(5)
                .ofMaxSize(80);
    }

    /** Plays the steps on a router in front of three engines. */
    private static final class History {
        private final RouterSimulation router =
                new RouterSimulation(StandInConfig.small(1), GatewayFixture.MANY_RETRIES, 1);
        private final List<BackendServer> engines = List.of(
                RouterSimulation.engine("a1", FIRST_PORT, 0, 8),
                RouterSimulation.engine("a2", FIRST_PORT + 1, 0, 8),
                RouterSimulation.engine("b1", FIRST_PORT + 2, "dc2", 0, 8));
        private final List<Rest> rests = new ArrayList<>();
        private int requests;
        private int seen;

        void play(List<Step> steps) {
            engines.forEach(router::register);
            for (Step step : steps) {
                apply(step);
                router.settle();
                check();
            }
        }

        private void apply(Step step) {
            BackendServer engine = engines.get(step.value() % engines.size());
            switch (step.action()) {
                case REQUEST -> router.request("/chat/a", "r" + requests++);
                case ASK_FOR_REST -> withOpenCall(step.value(), call -> askForRest(call, step.value()));
                case STREAM -> withOpenCall(step.value(), History::stream);
                case EVENT -> withOpenCall(step.value(), call -> call.events(id(call), event(call)));
                case CUT -> withOpenCall(step.value(), call -> call.fail(new IllegalStateException("reset")));
                case UNREGISTER -> router.unregister(engine);
                case REGISTER -> router.register(engine.withState(ServerState.READY));
                case SILENCE ->
                    router.setReportFaults(asked ->
                            asked.id().equals(engine.id()) ? Optional.of(MoveAnswers.NO_ANSWER) : Optional.empty());
                case TICK -> router.tick();
                case RUN -> router.run(100L * step.value());
            }
        }

        private void withOpenCall(int value, Consumer<FakeHttpClient.Call> action) {
            List<FakeHttpClient.Call> open =
                    router.calls().stream().filter(call -> !call.isEnded()).toList();
            if (!open.isEmpty()) {
                action.accept(open.get(value % open.size()));
            }
        }

        private void askForRest(FakeHttpClient.Call call, int value) {
            if (call.isAnswered()) {
                return;
            }
            long millis = 500L * value;
            rests.add(new Rest(call.port(), router.now() + REACTION_MILLIS, router.now() + millis));
            call.complete(
                    503, HeaderFixtures.resting(String.valueOf(millis / 1_000.0), HeaderFixtures.refusal(id(call))));
        }

        private static void stream(FakeHttpClient.Call call) {
            call.events(id(call), event(call));
            call.complete(200, HeaderFixtures.answer(id(call)));
        }

        private static String event(FakeHttpClient.Call call) {
            return SimulatedRun.event(id(call), HeaderFixtures.firstEventId(call::header));
        }

        private static String id(FakeHttpClient.Call call) {
            return HeaderFixtures.requestId(call::header);
        }

        private void check() {
            for (; seen < router.calls().size(); seen++) {
                int port = router.calls().get(seen).port();
                rests.stream()
                        .filter(rest -> rest.port() == port)
                        .filter(rest -> router.now() >= rest.fromMillis() && router.now() < rest.untilMillis())
                        .findFirst()
                        .ifPresent(rest -> {
                            throw new AssertionError("a request reaches " + port + " in its rest " + rest);
                        });
            }
            if (router.exceptions() > 0) {
                throw new AssertionError(router.exceptions() + " exceptions in the router's work");
            }
        }
    }
}
