package org.cornelramp.core.call;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.model.Outcome;
import org.cornelramp.core.model.Problem;
import org.cornelramp.core.model.ProblemKind;

/**
 * While links break, agents end and answers are lost, a keyed call is sent at most once, gets one final answer by its
 * deadline, and is reported as not run only if it did not run.
 */
class PlainCallProperties {
    private static final Instant START = Instant.ofEpochMilli(1_000_000);
    private static final Incarnation BOUND = new Incarnation(new BackendServerId("s"), 1);

    @Property(seed = "81", tries = 5_000)
    boolean aKeyedCallEndsOnceWithATrueOutcome(@ForAll long seed) {
        Simulation simulation = new Simulation(new Random(seed), Optional.of(BOUND));
        simulation.run();
        return simulation.isCorrect() && simulation.sends <= 1;
    }

    @Property(seed = "82", tries = 5_000)
    boolean anIdempotentCallEndsOnceAndAvoidsFailedAgents(@ForAll long seed) {
        Simulation simulation = new Simulation(new Random(seed), Optional.empty());
        simulation.run();
        return simulation.isCorrect() && simulation.sends <= 3 && !simulation.sentToFailedAgent;
    }

    /** Simulates one agent incarnation, its key record, and a link that breaks at random. */
    private static final class Simulation {
        private final Random random;
        private final Optional<Incarnation> bound;
        private final PlainCall call;
        private final Deque<Runnable> messages = new ArrayDeque<>();
        private Instant now = START;
        private boolean linked;
        private boolean alive = true;
        private boolean ran;
        private boolean cancelled;
        private boolean sentToFailedAgent;
        private int sends;
        private int ends;
        private Optional<Problem> problem = Optional.empty();

        Simulation(Random random, Optional<Incarnation> bound) {
            this.random = random;
            this.bound = bound;
            this.linked = random.nextBoolean();
            // An earlier attempt with the key, through another entry, may have run.
            this.ran = bound.isPresent() && random.nextInt(4) == 0;
            this.call = new PlainCall(bound, now, START.plusMillis(500));
        }

        void run() {
            if (random.nextInt(5) == 0) {
                apply(call.startRefused(Problem.notRun(ProblemKind.LIMIT_REACHED, "full")));
            } else {
                apply(call.start());
            }
            while (!call.isEnded()) {
                now = now.plusMillis(10);
                event();
                apply(call.tick(now));
            }
            apply(call.tick(now.plusMillis(10)));
        }

        boolean isCorrect() {
            boolean falseNotRun = bound.isPresent()
                    && problem.filter(p -> p.outcome() == Outcome.NOT_RUN).isPresent()
                    && (ran || !cancelled);
            return ends == 1 && !falseNotRun && !now.isAfter(START.plusMillis(510));
        }

        private void event() {
            int kind = random.nextInt(12);
            if (kind == 0 && linked) {
                linked = false;
                messages.clear();
                call.target().ifPresent(agent -> apply(call.linkLost(agent, now)));
            } else if (kind <= 2 && !linked && alive) {
                linked = true;
                call.target().ifPresent(agent -> apply(call.linkOpened(agent)));
            } else if (kind == 3 && random.nextInt(6) == 0 && bound.isPresent()) {
                alive = false;
                linked = false;
                messages.clear();
                apply(call.incarnationGone(BOUND, now));
            } else if (kind > 4 && !messages.isEmpty()) {
                messages.poll().run();
            }
        }

        private void apply(List<CallAction> actions) {
            for (CallAction action : actions) {
                perform(action);
            }
        }

        private void perform(CallAction action) {
            if (action instanceof CallAction.Choose) {
                Incarnation next = new Incarnation(new BackendServerId("s"), 2 + call.retries());
                apply(call.chosen(next));
            } else if (action instanceof CallAction.Send send) {
                send(send.agent());
            } else if (action instanceof CallAction.Ask) {
                if (!linked) {
                    apply(call.notSent(now));
                } else {
                    messages.add(this::settle);
                }
            } else if (action instanceof CallAction.LookUp) {
                apply(call.lookedUp(Optional.empty()));
            } else if (action instanceof CallAction.Answer) {
                ends++;
            } else if (action instanceof CallAction.Fail fail) {
                ends++;
                problem = Optional.of(fail.problem());
            }
        }

        private void send(Incarnation agent) {
            sentToFailedAgent |= call.failed().contains(agent);
            if (!linked) {
                apply(call.notSent(now));
                return;
            }
            sends++;
            messages.add(() -> {
                if (cancelled) {
                    apply(call.replyReceived(
                            AgentReply.of(Problem.notRun(ProblemKind.BACKEND_FAILED, "cancelled")), now));
                    return;
                }
                ran = true;
                if (random.nextInt(3) > 0) {
                    apply(call.replyReceived(answer(), now));
                }
            });
        }

        private void settle() {
            if (ran) {
                apply(call.replyReceived(answer(), now));
            } else {
                cancelled = true;
                apply(call.replyReceived(AgentReply.of(Problem.notRun(ProblemKind.BACKEND_FAILED, "cancelled")), now));
            }
        }

        private static AgentReply answer() {
            return AgentReply.of(new CallResult(200, "", new byte[0]));
        }
    }
}
