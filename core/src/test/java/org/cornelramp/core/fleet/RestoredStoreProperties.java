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

/** The store fails and is restored from a copy some seconds old, while servers start, leave, end and restart. */
class RestoredStoreProperties {
    private static final int SERVERS = 12;
    private static final int CHANGES = 60;
    private static final long CONFIRM_MILLIS = 6_100;
    private static final long OUTAGE_MILLIS = 1_500;

    /** The log as the store holds it, and the actual state of the servers. */
    private static final class Simulation {
        private final Random random;
        private final List<ServerRegistry.Registration> log = new ArrayList<>();
        private final Map<BackendServerId, BackendServer> running = new HashMap<>();
        private final Set<BackendServerId> left = new HashSet<>();
        private long lastStartMillis = 1_000;

        Simulation(long seed) {
            random = new Random(seed);
        }

        private void write(BackendServerId name, BackendServer server) {
            log.add(new ServerRegistry.Registration(log.size(), name, Optional.ofNullable(server)));
        }

        void change() {
            BackendServerId name = new BackendServerId("i-" + random.nextInt(SERVERS));
            BackendServer now = running.get(name);
            if (now == null || random.nextInt(6) == 0) {
                startServer(name, now);
            } else if (now.state().takesWork() && random.nextInt(3) > 0) {
                running.put(name, now.withState(ServerState.DRAINING));
                left.add(now.id());
                write(name, running.get(name));
            } else {
                running.remove(name);
                left.add(now.id());
                write(name, null);
            }
        }

        private void startServer(BackendServerId name, BackendServer before) {
            if (before != null) {
                left.add(before.id());
            }
            BackendServer any = EngineFixtures.engine(name.value(), "dc1", "t4", 0, 5);
            lastStartMillis += 1 + random.nextInt(50);
            BackendServer next = new BackendServer(
                    name.forIncarnation(lastStartMillis),
                    name,
                    any.service(),
                    any.address(),
                    any.dataCentre(),
                    ServerState.READY,
                    any.slots(),
                    any.card(),
                    any.layers());
            running.put(name, next);
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

        /** Writes again the state of each server that differs from its record in the store. */
        void registerAgain() {
            Map<BackendServerId, BackendServer> stored = new HashMap<>();
            newest().forEach(record -> stored.put(record.name(), record.server().orElseThrow()));
            for (int i = 0; i < SERVERS; i++) {
                BackendServerId name = new BackendServerId("i-" + i);
                BackendServer now = running.get(name);
                if (now == null ? stored.containsKey(name) : !now.equals(stored.get(name))) {
                    write(name, now);
                }
            }
        }
    }

    /**
     * Guards against an outdated copy that makes the registry offer servers which have left or ended, or drop running ones.
     * Once all servers have written again, the registry matches their actual state.
     */
    @Property(tries = 500, seed = "41")
    void anOlderCopyDoesNotUndoObservedChanges(@ForAll long seed) {
        Simulation simulation = new Simulation(seed);
        ServerRegistry registry = new ServerRegistry();
        registry.setStoreAvailable(true, 0);
        long now = 100_000;
        for (int i = 0; i < CHANGES; i++) {
            simulation.change();
            registry.apply(simulation.log.get(simulation.log.size() - 1), now++);
        }
        registry.setStoreAvailable(false, now);
        Set<BackendServerId> seenToLeave = Set.copyOf(simulation.left);
        int kept = simulation.log.size() - simulation.random.nextInt(CHANGES / 2);
        simulation.log.subList(kept, simulation.log.size()).clear();
        boolean changedAfterRestore = simulation.random.nextBoolean();
        if (changedAfterRestore) {
            simulation.change();
        }
        now += OUTAGE_MILLIS;
        registry.restore(simulation.newest(), simulation.log.size(), CONFIRM_MILLIS, now);
        registry.setStoreAvailable(true, now);
        checkNoLeftServerTakesWork(seenToLeave, registry);
        for (BackendServer server : simulation.running.values()) {
            check(!server.state().takesWork() || registry.server(server.id()).isPresent(), "missing: " + server.id());
        }
        int from = simulation.log.size();
        simulation.registerAgain();
        for (ServerRegistry.Registration record : simulation.log.subList(from, simulation.log.size())) {
            registry.apply(record, now + 500);
            checkNoLeftServerTakesWork(seenToLeave, registry);
        }
        registry.expire(now + CONFIRM_MILLIS + ServerRegistry.REGISTRATION_GRACE_MILLIS);
        check(
                Set.copyOf(registry.servers()).equals(Set.copyOf(simulation.running.values())),
                registry.servers() + " is not " + simulation.running.values());
    }

    private static void checkNoLeftServerTakesWork(Set<BackendServerId> seenToLeave, ServerRegistry registry) {
        for (BackendServer server : registry.servers()) {
            check(
                    !server.state().takesWork() || !seenToLeave.contains(server.id()),
                    "takes work after its leave: " + server.id());
        }
    }

    private static void check(boolean condition, String message) {
        if (!condition) {
            throw new AssertionError(message);
        }
    }
}
