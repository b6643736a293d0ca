package org.cornelramp.core.call;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cornelramp.core.member.IncarnationHistory;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.model.Outcome;
import org.cornelramp.core.model.Problem;
import org.cornelramp.core.model.ProblemKind;
import org.cornelramp.core.model.ServiceName;

/**
 * Agents start, end and lose links, some of it unseen by the entry. The entry reports a key that it cannot bind as not run
 * only if no incarnation has run the key and none can run it later.
 */
class UnboundCallRefusalProperties {
    private static final ServiceName SERVICE = new ServiceName("bookings");
    private static final Duration SKEW = Duration.ofMillis(50);

    @Property(seed = "121", tries = 20_000)
    boolean notRunIsReportedOnlyIfTrue(@ForAll long seed) {
        Simulation simulation = new Simulation(new Random(seed));
        return simulation.run();
    }

    private static final class Simulation {
        private final Random random;
        private final IncarnationHistory history = new IncarnationHistory(Duration.ofHours(1), SKEW);
        private final List<BackendServerId> servers = new ArrayList<>();
        private final List<Incarnation> alive = new ArrayList<>();
        private final Set<Incarnation> linked = new HashSet<>();
        private final Set<Incarnation> tombstoned = new HashSet<>();
        private Instant now = Instant.ofEpochMilli(10_000);
        private long nextIncarnation;
        private Optional<Incarnation> ran = Optional.empty();

        Simulation(Random random) {
            this.random = random;
        }

        boolean run() {
            for (int i = 0; i < 1 + random.nextInt(3); i++) {
                addServer();
            }
            boolean watches = random.nextInt(8) > 0;
            if (watches) {
                read(now);
            }
            passTime(100 + random.nextInt(200));
            Instant createdAt = now.plusMillis(random.nextInt(100) - 50);
            passTime(random.nextInt(60));
            if (random.nextInt(3) == 0) {
                ran = Optional.of(alive.get(random.nextInt(alive.size())));
            }
            passTime(random.nextInt(300));
            Instant askedAt = now;
            UnboundCallRefusal refusal =
                    new UnboundCallRefusal(Problem.notRun(ProblemKind.LOG_UNAVAILABLE, "out"), askedAt.plusMillis(500));
            if (random.nextInt(8) > 0) {
                read(now);
            }
            Optional<Set<Incarnation>> holders = history.possibleHolders(SERVICE, createdAt, askedAt);
            Optional<Outcome> reported = outcome(refusal, refusal.ask(holders));
            boolean mayRunLater = alive.stream().anyMatch(agent -> !tombstoned.contains(agent));
            return !reported.equals(Optional.of(Outcome.NOT_RUN)) || (ran.isEmpty() && !mayRunLater);
        }

        private void passTime(int millis) {
            for (int i = 0; i < millis; i += 10) {
                now = now.plusMillis(10);
                event();
                linked.forEach(agent -> history.seen(agent, Optional.of(SERVICE), now));
            }
        }

        private void event() {
            int kind = random.nextInt(60);
            if (kind == 0) {
                int i = random.nextInt(servers.size());
                unlink(alive.get(i));
                alive.set(i, new Incarnation(servers.get(i), nextIncarnation++));
                if (random.nextBoolean()) {
                    link(alive.get(i));
                }
            } else if (kind == 1) {
                unlink(alive.get(random.nextInt(alive.size())));
            } else if (kind <= 8) {
                link(alive.get(random.nextInt(alive.size())));
            } else if (kind == 9 && servers.size() < 5) {
                addServer();
            } else if (kind <= 12) {
                read(now);
            }
        }

        private void addServer() {
            BackendServerId server = new BackendServerId("s" + servers.size());
            servers.add(server);
            alive.add(new Incarnation(server, nextIncarnation++));
            if (random.nextInt(4) > 0) {
                link(alive.get(alive.size() - 1));
            }
        }

        private void link(Incarnation agent) {
            linked.add(agent);
            history.seen(agent, Optional.of(SERVICE), now);
        }

        private void unlink(Incarnation agent) {
            if (linked.remove(agent)) {
                history.linkLost(agent);
            }
        }

        private void read(Instant askedAt) {
            history.updateList(askedAt, new HashSet<>(servers), now);
        }

        private Optional<Outcome> outcome(UnboundCallRefusal refusal, List<CallAction> first) {
            List<CallAction> actions = new ArrayList<>(first);
            while (!actions.isEmpty()) {
                CallAction action = actions.remove(0);
                if (action instanceof CallAction.Ask ask) {
                    actions.addAll(refusal.replyReceived(ask.agent(), reply(ask.agent())));
                } else if (action instanceof CallAction.Fail fail) {
                    return Optional.of(fail.problem().outcome());
                } else if (action instanceof CallAction.Answer) {
                    return Optional.of(Outcome.ANSWERED);
                }
            }
            return Optional.empty();
        }

        private AgentReply reply(Incarnation agent) {
            if (ran.equals(Optional.of(agent))) {
                return AgentReply.of(new CallResult(200, "", new byte[0]));
            }
            tombstoned.add(agent);
            return AgentReply.of(Problem.notRun(ProblemKind.BACKEND_LOST, "cancelled"));
        }
    }
}
