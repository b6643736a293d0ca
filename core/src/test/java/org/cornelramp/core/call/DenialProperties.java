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
import org.cornelramp.core.member.Lives;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.model.Outcome;
import org.cornelramp.core.model.Problem;
import org.cornelramp.core.model.ProblemKind;
import org.cornelramp.core.model.ServiceName;

/**
 * An entry watches a fleet whose agents start, end and lose links, at times unseen. Whatever it saw, it says not-run
 * of a key that it cannot bind only if no life ran the key and none can run it any more.
 */
class DenialProperties {
    private static final ServiceName SERVICE = new ServiceName("bookings");
    private static final Duration SKEW = Duration.ofMillis(50);

    @Property(seed = "121", tries = 20_000)
    boolean notRunIsTheTruth(@ForAll long seed) {
        World world = new World(new Random(seed));
        return world.run();
    }

    private static final class World {
        private final Random random;
        private final Lives lives = new Lives(Duration.ofHours(1), SKEW);
        private final List<BackendServerId> servers = new ArrayList<>();
        private final List<Incarnation> alive = new ArrayList<>();
        private final Set<Incarnation> linked = new HashSet<>();
        private final Set<Incarnation> tombstoned = new HashSet<>();
        private Instant now = Instant.ofEpochMilli(10_000);
        private long life;
        private Optional<Incarnation> ran = Optional.empty();

        World(Random random) {
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
            Instant madeAt = now.plusMillis(random.nextInt(100) - 50);
            passTime(random.nextInt(60));
            if (random.nextInt(3) == 0) {
                ran = Optional.of(alive.get(random.nextInt(alive.size())));
            }
            passTime(random.nextInt(300));
            Instant askedAt = now;
            Denial denial = new Denial(Problem.notRun(ProblemKind.LOG_UNAVAILABLE, "out"), askedAt.plusMillis(500));
            if (random.nextInt(8) > 0) {
                read(now);
            }
            Optional<Set<Incarnation>> holders = lives.holders(SERVICE, madeAt, askedAt);
            Optional<Outcome> said = outcome(denial, denial.ask(holders));
            boolean mayRunLater = alive.stream().anyMatch(agent -> !tombstoned.contains(agent));
            return !said.equals(Optional.of(Outcome.NOT_RUN)) || (ran.isEmpty() && !mayRunLater);
        }

        private void passTime(int millis) {
            for (int i = 0; i < millis; i += 10) {
                now = now.plusMillis(10);
                event();
                linked.forEach(agent -> lives.seen(agent, Optional.of(SERVICE), now));
            }
        }

        private void event() {
            int what = random.nextInt(60);
            if (what == 0) {
                int i = random.nextInt(servers.size());
                unlink(alive.get(i));
                alive.set(i, new Incarnation(servers.get(i), life++));
                if (random.nextBoolean()) {
                    link(alive.get(i));
                }
            } else if (what == 1) {
                unlink(alive.get(random.nextInt(alive.size())));
            } else if (what <= 8) {
                link(alive.get(random.nextInt(alive.size())));
            } else if (what == 9 && servers.size() < 5) {
                addServer();
            } else if (what <= 12) {
                read(now);
            }
        }

        private void addServer() {
            BackendServerId server = new BackendServerId("s" + servers.size());
            servers.add(server);
            alive.add(new Incarnation(server, life++));
            if (random.nextInt(4) > 0) {
                link(alive.get(alive.size() - 1));
            }
        }

        private void link(Incarnation agent) {
            linked.add(agent);
            lives.seen(agent, Optional.of(SERVICE), now);
        }

        private void unlink(Incarnation agent) {
            if (linked.remove(agent)) {
                lives.unlinked(agent);
            }
        }

        private void read(Instant askedAt) {
            lives.listed(askedAt, new HashSet<>(servers), now);
        }

        private Optional<Outcome> outcome(Denial denial, List<CallAction> first) {
            List<CallAction> actions = new ArrayList<>(first);
            while (!actions.isEmpty()) {
                CallAction action = actions.remove(0);
                if (action instanceof CallAction.Ask ask) {
                    actions.addAll(denial.said(ask.agent(), word(ask.agent())));
                } else if (action instanceof CallAction.Fail fail) {
                    return Optional.of(fail.problem().outcome());
                } else if (action instanceof CallAction.Answer) {
                    return Optional.of(Outcome.ANSWERED);
                }
            }
            return Optional.empty();
        }

        private AgentWord word(Incarnation agent) {
            if (ran.equals(Optional.of(agent))) {
                return AgentWord.of(new CallResult(200, "", new byte[0]));
            }
            tombstoned.add(agent);
            return AgentWord.of(Problem.notRun(ProblemKind.BACKEND_LOST, "cancelled"));
        }
    }
}
