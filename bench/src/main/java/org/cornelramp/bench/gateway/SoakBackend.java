package org.cornelramp.bench.gateway;

import java.util.SplittableRandom;
import org.cornelramp.bench.fleet.Ports;
import org.cornelramp.bench.fleet.Relay;
import org.cornelramp.core.settings.HostPort;
import org.cornelramp.platform.standin.StandInBackend;
import org.cornelramp.platform.standin.StandInConfig;
import org.cornelramp.platform.standin.StandInFleet;
import org.cornelramp.platform.standin.StandInStore;

/**
 * A backend server behind a relay. Safe for use by any thread; a fault that stops and restarts it holds its monitor.
 */
final class SoakBackend implements AutoCloseable {
    private static final long POISON_LAPSE_MILLIS = 800;
    private static final long POISON_DOWN_MILLIS = 2_500;

    /** How long an engine stays down that a part of a prompt has crashed. */
    private static final int MIN_DOWN_MILLIS = 1_200;

    private static final int MAX_DOWN_MILLIS = 3_400;

    /** One stream in so many, and one other answer in so many, ends with its connection. */
    private static final int UNFRAMED_STREAM_SHARE = 5;

    private static final int UNFRAMED_BODY_SHARE = 10;

    private final StandInBackend server;
    private final Relay relay;
    private final boolean engine;

    SoakBackend(
            StandInStore store,
            StandInFleet fleet,
            StandInConfig config,
            String name,
            String dataCentre,
            boolean engine,
            Ports ports)
            throws Exception {
        int port = ports.allocate();
        int relayPort = ports.allocate();
        this.engine = engine;
        this.relay = new Relay(relayPort, port);
        this.server = new StandInBackend(
                store, fleet, config, name, dataCentre, engine, port, new HostPort("127.0.0.1", relayPort));
    }

    StandInBackend server() {
        return server;
    }

    Relay relay() {
        return relay;
    }

    boolean isEngine() {
        return engine;
    }

    /** Sends a share of the answers, which follows from the seed, with neither a length nor chunks. */
    void answerUnframed(long seed) {
        int share = engine ? UNFRAMED_STREAM_SHARE : UNFRAMED_BODY_SHARE;
        server.faults().setUnframed(answer -> new SplittableRandom(seed ^ answer.hashCode()).nextInt(share) == 0);
    }

    /** Lets poison requests, and those with poisonous parts, crash the server whenever it runs them. */
    void crashUnder(PoisonRecords poison, FaultHistory faultHistory, SoakSettings.PoisonSettings settings, long seed) {
        SplittableRandom random = new SplittableRandom(seed ^ server.name().hashCode());
        server.faults()
                .setPoison(
                        PoisonRecords::isPoison,
                        feature -> crash(feature, poison, faultHistory, settings.portsHeld(), random));
        server.faults().setPoisonFailureRate(settings.failureShare());
    }

    private void crash(
            String feature,
            PoisonRecords poison,
            FaultHistory faultHistory,
            boolean portHeld,
            SplittableRandom random) {
        if (!server.crash()) {
            return;
        }
        long now = StandInFleet.nowMillis();
        poison.recordCrash(feature, now);
        FaultHistory.FaultPeriod crash = faultHistory.begin(FaultHistory.Target.BACKEND, FaultHistory.ALL, now);
        relay.setListening(portHeld);
        relay.cut();
        Runnable work = () -> {
            restart(PromptParts.isPoisonous(feature), random);
            faultHistory.end(crash, StandInFleet.nowMillis());
        };
        Thread restart = new Thread(work, "restart-" + server.name());
        restart.setDaemon(true);
        restart.start();
    }

    private synchronized void restart(boolean underNewId, SplittableRandom random) {
        long downMillis =
                underNewId ? MIN_DOWN_MILLIS + random.nextInt(MAX_DOWN_MILLIS - MIN_DOWN_MILLIS) : POISON_DOWN_MILLIS;
        try {
            Thread.sleep(POISON_LAPSE_MILLIS);
            server.unregister();
            Thread.sleep(downMillis - POISON_LAPSE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        relay.setListening(true);
        if (underNewId) {
            server.startUnderNewId();
        } else {
            server.startIncarnation();
        }
    }

    @Override
    public void close() throws Exception {
        server.close();
        relay.close();
    }
}
