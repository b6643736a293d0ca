package org.cornelramp.gateway.follow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.cornelramp.platform.MetadataStore.Topic;

/**
 * Gateways before one store, and the ways between them, in simulated time. It keeps how late each gateway that is in
 * touch with the store was at worst, by the pages' definition: not disturbed itself for three seconds.
 */
final class SimulatedFleet {
    private static final long STABLE_MILLIS = 3_000;
    private static final long CHECK_MILLIS = 5;
    private static final long STORE_MILLIS = 2;

    private final SimulatedTime time = new SimulatedTime();
    private final SimulatedStore store = new SimulatedStore(time);
    private final Random random;
    private final List<Slot> slots = new ArrayList<>();
    private final Map<String, Slot> byHost = new HashMap<>();
    private long worstMillis;
    private String worst = "";

    /** A machine and what is wrong with it; a new life of its gateway keeps its address. */
    private static final class Slot {
        private final int number;
        private SimulatedGateway gateway;
        private boolean up = true;
        private int cutsToStore;
        private int cutsFromStore;
        private int cutsToPeers;
        private long linkDelayMillis;
        private int disturbances;
        private long disturbedMillis;

        Slot(int number) {
            this.number = number;
        }
    }

    /** What can happen to a machine. */
    enum Fault {
        CUT_FROM_STORE,
        CALLS_TO_STORE_LOST,
        ANSWERS_OF_STORE_LOST,
        CUT_FROM_ALL,
        FROZEN,
        SUSPENDED,
        KILLED,
        SLOW_LINK,
        CONNECTIONS_STOPPED
    }

    SimulatedFleet(int gateways, long seed) {
        random = new Random(seed);
        store.append(Topic.OPERATORS);
        store.append(Topic.SERVERS);
        for (int i = 0; i < gateways; i++) {
            Slot slot = new Slot(i);
            slots.add(slot);
            start(slot);
        }
        time.after(CHECK_MILLIS, this::check);
        runFor(6_000);
    }

    private void start(Slot slot) {
        slot.gateway = new SimulatedGateway(this, time, slot.number);
        slot.up = true;
        slot.disturbedMillis = time.millis();
        byHost.put(slot.gateway.host(), slot);
    }

    SimulatedStore store() {
        return store;
    }

    Random random() {
        return random;
    }

    void runFor(long millis) {
        time.runUntil(time.millis() + millis);
    }

    void after(long millis, Runnable action) {
        time.after(millis, action);
    }

    /** Lateness of the latest record at any gateway that was in touch. */
    long worstMillis() {
        return worstMillis;
    }

    /** Which gateway was the latest, and when. */
    String worst() {
        return worst;
    }

    /** Number of the gateway that reads the store for all; 0 if there is none. */
    int reader() {
        return slots.stream()
                .filter(slot -> slot.up && slot.gateway.isLeader())
                .map(slot -> slot.number)
                .findFirst()
                .orElse(0);
    }

    private void check() {
        for (Slot slot : slots) {
            boolean inTouch =
                    slot.up && slot.disturbances == 0 && time.millis() - slot.disturbedMillis >= STABLE_MILLIS;
            for (Topic topic : Topic.values()) {
                long lateness = inTouch ? store.lateness(topic, slot.gateway.appliedEnd(topic)) : 0;
                if (lateness > worstMillis) {
                    worstMillis = lateness;
                    worst = topic + " at gateway " + slot.number + " at " + time.millis();
                }
            }
        }
        time.after(CHECK_MILLIS, this::check);
    }

    private void disturb(Slot slot, long forMillis, Runnable begin, Runnable end) {
        begin.run();
        slot.disturbances++;
        time.after(forMillis, () -> {
            end.run();
            slot.disturbances--;
            slot.disturbedMillis = time.millis();
        });
    }

    void inject(Fault fault, int number, long forMillis) {
        Slot slot = slots.get(number);
        switch (fault) {
            case CUT_FROM_STORE -> cut(slot, forMillis, 1, 1, 0);
            case CALLS_TO_STORE_LOST -> cut(slot, forMillis, 1, 0, 0);
            case ANSWERS_OF_STORE_LOST -> cut(slot, forMillis, 0, 1, 0);
            case CUT_FROM_ALL -> cut(slot, forMillis, 1, 1, 1);
            case FROZEN, SUSPENDED ->
                disturb(
                        slot,
                        forMillis,
                        () -> slot.gateway.machine().freeze(forMillis, fault == Fault.SUSPENDED),
                        () -> {});
            case KILLED -> kill(slot, forMillis);
            case SLOW_LINK -> {
                long delay = 100L + random.nextInt(400);
                disturb(slot, forMillis, () -> slot.linkDelayMillis += delay, () -> slot.linkDelayMillis -= delay);
            }
            case CONNECTIONS_STOPPED -> {
                slots.stream().filter(each -> each.up).forEach(each -> {
                    each.gateway.stopConnections();
                    each.disturbedMillis = time.millis();
                });
            }
        }
    }

    private void cut(Slot slot, long forMillis, int toStore, int fromStore, int peers) {
        disturb(
                slot,
                forMillis,
                () -> {
                    slot.cutsToStore += toStore;
                    slot.cutsFromStore += fromStore;
                    slot.cutsToPeers += peers;
                },
                () -> {
                    slot.cutsToStore -= toStore;
                    slot.cutsFromStore -= fromStore;
                    slot.cutsToPeers -= peers;
                });
    }

    private void kill(Slot slot, long forMillis) {
        if (slot.up) {
            slot.gateway.machine().kill();
            slot.up = false;
            time.after(forMillis, () -> start(slot));
        }
    }

    private Optional<Slot> slotOf(SimulatedGateway gateway) {
        return Optional.ofNullable(byHost.get(gateway.host())).filter(slot -> slot.gateway == gateway && slot.up);
    }

    List<SimulatedGateway> peersOf(SimulatedGateway gateway) {
        return slots.stream()
                .filter(slot -> slot.up && slot.gateway != gateway)
                .map(slot -> slot.gateway)
                .toList();
    }

    Optional<SimulatedGateway> gatewayAt(String host) {
        return Optional.ofNullable(byHost.get(host)).filter(slot -> slot.up).map(slot -> slot.gateway);
    }

    void sendToStore(SimulatedGateway from, Runnable action) {
        slotOf(from)
                .filter(slot -> slot.cutsToStore == 0)
                .ifPresent(slot -> time.after(STORE_MILLIS + slot.linkDelayMillis, action));
    }

    void sendFromStore(SimulatedGateway to, Runnable action) {
        slotOf(to)
                .filter(slot -> slot.cutsFromStore == 0)
                .ifPresent(slot -> time.after(STORE_MILLIS + slot.linkDelayMillis, action));
    }

    void sendToPeer(SimulatedGateway from, SimulatedGateway to, Runnable action) {
        Optional<Slot> source = slotOf(from).filter(slot -> slot.cutsToPeers == 0);
        Optional<Slot> target = slotOf(to).filter(slot -> slot.cutsToPeers == 0);
        if (source.isPresent() && target.isPresent()) {
            long delay = 1 + source.get().linkDelayMillis + target.get().linkDelayMillis;
            time.after(delay, () -> to.machine().deliver(action));
        }
    }

    /** Sends a datagram, of which one in fifty is lost. */
    void sendUpdate(SimulatedGateway from, SimulatedGateway to, Runnable action) {
        if (random.nextInt(50) > 0) {
            sendToPeer(from, to, action);
        }
    }

    /** Ends all threads. */
    void stop() {
        slots.forEach(slot -> {
            slot.up = false;
            slot.gateway.machine().kill();
        });
        time.runUntil(time.millis() + 10_000);
    }
}
