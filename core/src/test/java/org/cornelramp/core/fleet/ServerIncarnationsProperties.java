package org.cornelramp.core.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cornelramp.core.fleet.SuspectedServers.Evidence;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.path.EngineFixtures;
import org.cornelramp.core.path.EngineLoads;

/** Servers restart under the same name while records and reports arrive late, twice and in any order. */
class ServerIncarnationsProperties {
    private static final BackendServerId NAME = new BackendServerId("i-1");

    /** Start times of the incarnations; they need not grow, since a server's clock may be set back between two of them. */
    private static final long[] START_TIMES = {5_000, 9_000, 1_000};

    private static BackendServer incarnation(long startMillis, boolean leaving) {
        BackendServer any = EngineFixtures.engine("i-1", "dc1", "t4", 0, 5);
        return new BackendServer(
                NAME.forIncarnation(startMillis),
                NAME,
                any.service(),
                any.address(),
                any.dataCentre(),
                leaving ? ServerState.DRAINING : ServerState.READY,
                any.slots(),
                any.card(),
                any.layers());
    }

    /**
     * The records of three incarnations of a server arrive in any order and more than once. In the end the registry shows
     * what the newest record says, and nothing of an ended incarnation remains.
     */
    @Property(tries = 300, seed = "31")
    void theNewestRecordAloneDecides(@ForAll long seed) {
        Random random = new Random(seed);
        List<ServerRegistry.Registration> written = new ArrayList<>();
        for (long startMillis : START_TIMES) {
            for (int i = 0; i <= random.nextInt(3); i++) {
                Optional<BackendServer> server = random.nextInt(5) == 0
                        ? Optional.empty()
                        : Optional.of(incarnation(startMillis, random.nextBoolean()));
                written.add(new ServerRegistry.Registration(written.size(), NAME, server));
            }
        }
        ServerRegistry registry = new ServerRegistry();
        registry.setStoreAvailable(true, 0);
        long now = 10_000;
        List<ServerRegistry.Registration> arrivals = new ArrayList<>(written);
        arrivals.addAll(written);
        Collections.shuffle(arrivals, random);
        for (ServerRegistry.Registration arrival : arrivals) {
            registry.apply(arrival, now++);
        }
        Optional<BackendServer> last = written.get(written.size() - 1).server();
        check(registry.servers().equals(last.stream().toList()), "servers " + registry.servers());
        for (long startMillis : START_TIMES) {
            BackendServerId id = NAME.forIncarnation(startMillis);
            boolean present = last.isPresent() && last.get().id().equals(id);
            check(registry.server(id).isPresent() == present, "incarnation " + id);
            check(present || registry.leavingSinceMillis(id).isEmpty(), "an ended incarnation is leaving");
        }
        last.ifPresent(server -> check(
                registry.leavingSinceMillis(server.id()).isPresent()
                        != server.state().takesWork(),
                "leaving state of the previous incarnation"));
    }

    /**
     * An engine that was suspected, slow, failing and leaving restarts under the same name. The new incarnation starts with
     * a clean state, late reports of a peer on the old one change nothing, and the old one counts as replaced.
     */
    @Property(tries = 1)
    void aNewIncarnationStartsWithACleanState() {
        ServerRegistry registry = new ServerRegistry();
        SuspectedServers suspects = new SuspectedServers();
        EngineLoads loads = new EngineLoads();
        BackendServer old = incarnation(START_TIMES[0], true);
        BackendServer next = incarnation(START_TIMES[1], false);
        registry.setStoreAvailable(true, 0);
        registry.apply(new ServerRegistry.Registration(1, NAME, Optional.of(old)), 10_000);
        suspects.suspect(old.id(), Evidence.LOST, 10_000);
        loads.setSlowdown(old.id(), 8, 10_000);
        loads.recordOutcome(old.id(), true);
        registry.apply(new ServerRegistry.Registration(2, NAME, Optional.of(next)), 10_100);
        loads.setSlowdown(old.id(), 8, 10_200);
        check(registry.isReplaced(old.id()) && !registry.isReplaced(next.id()), "which incarnation has ended");
        check(!suspects.isSuspect(next.id(), 10_200), "suspicion");
        check(loads.slowdown(next.id()) == 1 && loads.failureShare(next.id()) == 0, "pace and failures");
        check(registry.leavingSinceMillis(next.id()).isEmpty(), "leaving");
    }

    private static void check(boolean condition, String message) {
        if (!condition) {
            throw new AssertionError(message);
        }
    }
}
