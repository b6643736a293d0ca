package org.cornelramp.bench.gateway;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.cornelramp.bench.fleet.FleetException;
import org.cornelramp.bench.fleet.Ports;
import org.cornelramp.platform.standin.StandInCaller;
import org.cornelramp.platform.standin.StandInConfig;
import org.cornelramp.platform.standin.StandInFleet;
import org.cornelramp.platform.standin.StandInStore;

/**
 * The store, backend servers and gateways of one randomised run. Closed by the thread that created it, otherwise safe
 * for use by any thread.
 */
final class GatewayEnvironment implements AutoCloseable {
    /** Grace period of a planned stop, as on the users' deployments. */
    static final long GRACE_SECONDS = 8;

    /** Time after which a leaving server gets no new requests, the gateways' default. */
    static final long DRAIN_MILLIS = 2_000;

    /** Layers of the model; the memory of one engine's accelerator holds nine of them. */
    static final int LAYERS = 24;

    private static final int ACCELERATOR_MB = 100;
    private static final int DATA_CENTRES = 2;
    private static final int ENGINES_PER_DATA_CENTRE = 4;
    private static final int PLAIN_SERVERS = 3;
    private static final Duration START_LIMIT = Duration.ofSeconds(60);
    private static final long POLL_MILLIS = 50;

    private final StandInStore store = new StandInStore();
    private final StandInFleet fleet = new StandInFleet();
    private final StandInCaller caller = new StandInCaller();
    private final List<SoakGateway> gateways = new ArrayList<>();
    private final List<SoakBackend> backends = new ArrayList<>();
    private final FaultHistory faultHistory = new FaultHistory();
    private final ConfigVersions versions;

    /**
     * @param home folder of the checkout with the built jars
     * @param folder folder for settings and logs
     * @param gateways number of gateways
     */
    GatewayEnvironment(Path home, Path folder, int gateways) throws Exception {
        Files.createDirectories(folder);
        StandInConfig config = new StandInConfig(1, CallKind.CHAT.path(), LAYERS, ACCELERATOR_MB, "");
        versions = new ConfigVersions(store, config);
        versions.publishNext(StandInFleet.nowMillis());
        Ports ports = new Ports();
        for (int at = 0; at < DATA_CENTRES; at++) {
            for (int i = 0; i < ENGINES_PER_DATA_CENTRE; i++) {
                String name = "engine-" + at + i;
                backends.add(new SoakBackend(store, fleet, config, name, dataCentre(at), true, ports));
            }
        }
        for (int i = 0; i < PLAIN_SERVERS; i++) {
            String at = dataCentre(i % DATA_CENTRES);
            backends.add(new SoakBackend(store, fleet, config, "plain-" + i, at, false, ports));
        }
        SoakGateway.SharedSettings common =
                new SoakGateway.SharedSettings(home, folder, store.address().port(), GRACE_SECONDS);
        for (int i = 0; i < gateways; i++) {
            this.gateways.add(new SoakGateway(i, dataCentre(i % DATA_CENTRES), common, ports));
        }
    }

    private static String dataCentre(int number) {
        return "dc" + (number + 1);
    }

    /** Starts all processes and waits until each gateway serves every kind of request. */
    void start() throws InterruptedException, IOException {
        backends.forEach(backend -> backend.server().startIncarnation());
        gateways.forEach(SoakGateway::launch);
        awaitServing(START_LIMIT);
    }

    /**
     * Waits until each gateway is ready and serves every kind of request; throws a {@link FleetException} at the limit.
     */
    void awaitServing(Duration limit) throws InterruptedException {
        for (SoakGateway gateway : gateways) {
            await(gateway.name() + " is ready", limit, () -> isReady(gateway));
            for (CallKind kind : CallKind.values()) {
                await(gateway.name() + " serves " + kind, limit, () -> serves(gateway, kind));
            }
        }
    }

    private boolean isReady(SoakGateway gateway) {
        try {
            return caller.isReady(gateway.readiness());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private boolean serves(SoakGateway gateway, CallKind kind) {
        String id = "check-" + StandInFleet.nowMillis() + "-" + gateway.name();
        return caller.send(
                        gateway.directAddress(),
                        kind.path() + "check",
                        id,
                        id,
                        kind.promptParts(id),
                        kind.deadlineMillis())
                .thenApply(answer -> answer.status() == 200 && answer.complete())
                .join();
    }

    private static void await(String what, Duration limit, BooleanSupplier condition) throws InterruptedException {
        long until = StandInFleet.nowMillis() + limit.toMillis();
        while (!condition.getAsBoolean()) {
            if (StandInFleet.nowMillis() > until) {
                throw new FleetException("Not reached within " + limit.toSeconds() + " s: " + what);
            }
            Thread.sleep(POLL_MILLIS);
        }
    }

    StandInStore store() {
        return store;
    }

    StandInFleet fleet() {
        return fleet;
    }

    List<SoakGateway> gateways() {
        return gateways;
    }

    List<SoakBackend> backends() {
        return backends;
    }

    FaultHistory faultHistory() {
        return faultHistory;
    }

    ConfigVersions versions() {
        return versions;
    }

    @Override
    public void close() throws Exception {
        gateways.forEach(SoakGateway::close);
        for (SoakBackend backend : backends) {
            backend.close();
        }
        store.close();
    }
}
