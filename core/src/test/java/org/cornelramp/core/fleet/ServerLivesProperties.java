package org.cornelramp.core.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cornelramp.core.fleet.Suspicions.Evidence;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.path.EngineLoads;
import org.cornelramp.core.path.EngineFixtures;

/** Servers that start again under the name that they had, with news that come late, twice and in any order. */
class ServerLivesProperties {
    private static final BackendServerId NAME = new BackendServerId("i-1");

    /** The clock of the server may go back between two lives, so births need not grow. */
    private static final long[] BORN = {5_000, 9_000, 1_000};

    private static BackendServer life(long born, boolean leaves) {
        BackendServer any = EngineFixtures.engine("i-1", "dc1", "t4", 0, 5);
        return new BackendServer(
                NAME.forIncarnation(born),
                NAME,
                any.service(),
                any.address(),
                any.dataCentre(),
                leaves ? ServerState.DRAINING : ServerState.READY,
                any.slots(),
                any.card(),
                any.layers());
    }

    /**
     * A server lives three times. Its records arrive in any order and more than once. What is believed in the end is
     * what the newest record says, whatever came before it; and nothing of an ended life is left.
     */
    @Property(tries = 300, seed = "31")
    void theNewestRecordAloneDecides(@ForAll long seed) {
        Random random = new Random(seed);
        List<ServerRegistry.Registration> written = new ArrayList<>();
        for (long born : BORN) {
            for (int i = 0; i <= random.nextInt(3); i++) {
                Optional<BackendServer> server =
                        random.nextInt(5) == 0 ? Optional.empty() : Optional.of(life(born, random.nextBoolean()));
                written.add(new ServerRegistry.Registration(written.size(), NAME, server));
            }
        }
        ServerRegistry registry = new ServerRegistry();
        registry.storeAnswers(true, 0);
        long now = 10_000;
        List<ServerRegistry.Registration> arrivals = new ArrayList<>(written);
        arrivals.addAll(written);
        Collections.shuffle(arrivals, random);
        for (ServerRegistry.Registration arrival : arrivals) {
            registry.apply(arrival, now++);
        }
        Optional<BackendServer> last = written.get(written.size() - 1).server();
        check(registry.servers().equals(last.stream().toList()), "servers " + registry.servers());
        for (long born : BORN) {
            BackendServerId id = NAME.forIncarnation(born);
            boolean present = last.isPresent() && last.get().id().equals(id);
            check(registry.server(id).isPresent() == present, "life " + id);
            check(present || registry.leavingSinceMillis(id).isEmpty(), "an ended life leaves");
        }
        last.ifPresent(server -> check(
                registry.leavingSinceMillis(server.id()).isPresent()
                        != server.state().takesWork(),
                "what the life before said of leaving"));
    }

    /**
     * An engine was suspected, slow and failing, and said that it leaves; then it starts again under its name. The new
     * life is trusted, and what a peer still tells of the old one changes nothing. What ran in the old life is lost.
     */
    @Property(tries = 1)
    void aNewLifeBeginsWithNothing() {
        ServerRegistry registry = new ServerRegistry();
        Suspicions suspicions = new Suspicions();
        EngineLoads loads = new EngineLoads();
        BackendServer old = life(BORN[0], true);
        BackendServer next = life(BORN[1], false);
        registry.storeAnswers(true, 0);
        registry.apply(new ServerRegistry.Registration(1, NAME, Optional.of(old)), 10_000);
        suspicions.suspect(old.id(), Evidence.LOST, 10_000);
        loads.setSlowdown(old.id(), 8, 10_000);
        loads.recordOutcome(old.id(), true);
        registry.apply(new ServerRegistry.Registration(2, NAME, Optional.of(next)), 10_100);
        loads.setSlowdown(old.id(), 8, 10_200);
        check(registry.isReplaced(old.id()) && !registry.isReplaced(next.id()), "which life has ended");
        check(!suspicions.isSuspect(next.id(), 10_200), "suspicion");
        check(loads.slowdown(next.id()) == 1 && loads.failureShare(next.id()) == 0, "pace and failures");
        check(registry.leavingSinceMillis(next.id()).isEmpty(), "leaving");
    }

    private static void check(boolean holds, String what) {
        if (!holds) {
            throw new AssertionError(what);
        }
    }
}
