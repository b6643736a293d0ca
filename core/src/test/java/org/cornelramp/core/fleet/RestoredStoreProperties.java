package org.cornelramp.core.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.path.EngineFixtures;

/** The store is away and comes back from a copy some seconds old, while servers come, leave, end and start again. */
class RestoredStoreProperties {
    private static final int SERVERS = 12;
    private static final int CHANGES = 60;
    private static final long CONFIRM_MILLIS = 6_100;
    private static final long AWAY_MILLIS = 1_500;

    /** The topic as the store holds it, and what is true of the servers. */
    private static final class World {
        private final Random random;
        private final List<ServerRegistry.Registration> log = new ArrayList<>();
        private final Map<BackendServerId, BackendServer> alive = new HashMap<>();
        private final Set<BackendServerId> left = new HashSet<>();
        private long births = 1_000;

        World(long seed) {
            random = new Random(seed);
        }

        private void write(BackendServerId name, BackendServer server) {
            log.add(new ServerRegistry.Registration(log.size(), name, Optional.ofNullable(server)));
        }

        void change() {
            BackendServerId name = new BackendServerId("i-" + random.nextInt(SERVERS));
            BackendServer now = alive.get(name);
            if (now == null || random.nextInt(6) == 0) {
                born(name, now);
            } else if (now.state().takesWork() && random.nextInt(3) > 0) {
                alive.put(name, now.withState(ServerState.DRAINING));
                left.add(now.id());
                write(name, alive.get(name));
            } else {
                alive.remove(name);
                left.add(now.id());
                write(name, null);
            }
        }

        private void born(BackendServerId name, BackendServer before) {
            if (before != null) {
                left.add(before.id());
            }
            BackendServer any = EngineFixtures.engine(name.value(), "dc1", "t4", 0, 5);
            births += 1 + random.nextInt(50);
            BackendServer next = new BackendServer(
                    name.forIncarnation(births),
                    name,
                    any.service(),
                    any.address(),
                    any.dataCentre(),
                    ServerState.READY,
                    any.slots(),
                    any.card(),
                    any.layers());
            alive.put(name, next);
            write(name, next);
        }

        /** The newest record of each name that has a value. */
        List<ServerRegistry.Registration> newest() {
            Map<BackendServerId, ServerRegistry.Registration> newest = new HashMap<>();
            log.forEach(record -> newest.put(record.name(), record));
            return newest.values().stream()
                    .filter(record -> record.server().isPresent())
                    .toList();
        }

        /** Servers that find something else than their state in the store write it again. */
        void rewrite() {
            Map<BackendServerId, BackendServer> stored = new HashMap<>();
            newest().forEach(record -> stored.put(record.name(), record.server().orElseThrow()));
            for (int i = 0; i < SERVERS; i++) {
                BackendServerId name = new BackendServerId("i-" + i);
                BackendServer now = alive.get(name);
                if (now == null ? stored.containsKey(name) : !now.equals(stored.get(name))) {
                    write(name, now);
                }
            }
        }
    }

    /**
     * Guards against new work for servers that have left or ended, and against living ones taken for gone, while the copy
     * says otherwise. When all have written again, what is believed is what is true.
     */
    @Property(tries = 500, seed = "41")
    void anOlderCopyUndoesNothingThatWasSeen(@ForAll long seed) {
        World world = new World(seed);
        ServerRegistry registry = new ServerRegistry();
        registry.storeAnswers(true, 0);
        long now = 100_000;
        for (int i = 0; i < CHANGES; i++) {
            world.change();
            registry.apply(world.log.get(world.log.size() - 1), now++);
        }
        registry.storeAnswers(false, now);
        Set<BackendServerId> seenToLeave = Set.copyOf(world.left);
        int kept = world.log.size() - world.random.nextInt(CHANGES / 2);
        world.log.subList(kept, world.log.size()).clear();
        boolean rewrittenSome = world.random.nextBoolean();
        if (rewrittenSome) {
            world.change();
        }
        now += AWAY_MILLIS;
        registry.restore(world.newest(), world.log.size(), CONFIRM_MILLIS, now);
        registry.storeAnswers(true, now);
        checkNothingUndone(seenToLeave, registry);
        for (BackendServer server : world.alive.values()) {
            check(!server.state().takesWork() || registry.server(server.id()).isPresent(), "gone: " + server.id());
        }
        int from = world.log.size();
        world.rewrite();
        for (ServerRegistry.Registration record : world.log.subList(from, world.log.size())) {
            registry.apply(record, now + 500);
            checkNothingUndone(seenToLeave, registry);
        }
        registry.expire(now + CONFIRM_MILLIS + ServerRegistry.RETURN_MILLIS);
        check(
                Set.copyOf(registry.servers()).equals(Set.copyOf(world.alive.values())),
                registry.servers() + " is not " + world.alive.values());
    }

    private static void checkNothingUndone(Set<BackendServerId> seenToLeave, ServerRegistry registry) {
        for (BackendServer server : registry.servers()) {
            check(!server.state().takesWork() || !seenToLeave.contains(server.id()), "back: " + server.id());
        }
    }

    private static void check(boolean holds, String what) {
        if (!holds) {
            throw new AssertionError(what);
        }
    }
}
