package org.cornelramp.gateway.place;

import static org.testng.Assert.assertEquals;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.settings.HostPort;
import org.cornelramp.gateway.GatewayFixture;
import org.cornelramp.gateway.SteadyClock;
import org.cornelramp.gateway.TestEngines;
import org.cornelramp.gateway.follow.StoreAvailability;
import org.cornelramp.gateway.log.EventLog;
import org.cornelramp.gateway.metrics.Meters;
import org.cornelramp.gateway.route.ConfigHolder;
import org.cornelramp.gateway.route.FleetView;
import org.cornelramp.platform.ConfigDecoder;
import org.cornelramp.platform.EngineControl;
import org.cornelramp.platform.MetadataStore;
import org.cornelramp.platform.standin.StandInServer;
import org.cornelramp.platform.standin.StandInStore;
import org.eclipse.jetty.client.HttpClient;
import org.testng.annotations.Test;

/** When the leader assigns layers. */
public class LayerPlacerTest {
    private final ByteArrayOutputStream logged = new ByteArrayOutputStream();

    private static BackendServer empty(StandInServer engine) {
        return TestEngines.empty(engine.id(), engine.address());
    }

    /**
     * Guards against a leader that reassigns one engine after the other while the store does not answer, for example
     * for eight seconds. Its orders show in no registration, so each counts as lost and the next engine is moved, while
     * all gateways still route by the old layers: when the last complete data centre lost an engine, 160 streams in
     * four seconds found no path. The leader must wait for the store.
     */
    @Test
    public void placesNothingWhileStoreIsUnavailable() throws Exception {
        HttpClient http = new HttpClient();
        http.start();
        EventLog log = new EventLog(logged, Clock.systemUTC(), "g1");
        log.start();
        ConfigHolder config = new ConfigHolder();
        byte[] source = GatewayFixture.config(1, "/chat/").getBytes(StandardCharsets.UTF_8);
        config.offer(ConfigDecoder.decode(source).get(), source);
        AtomicBoolean storeAnswers = new AtomicBoolean();
        Meters meters = new Meters();
        SteadyClock clock = SteadyClock.system();
        try (StandInStore store = new StandInStore();
                StandInServer engine = new StandInServer(store, "e1", "llm", "dc1", "big")) {
            LeaderLease lease = new LeaderLease(
                    "g1",
                    new HostPort("127.0.0.1", 1),
                    peers -> {},
                    new MetadataStore(http, store.address(), clock::millis),
                    new StoreAvailability(),
                    Thread::new,
                    clock,
                    log,
                    meters);
            LayerPlacer placer = new LayerPlacer(
                    lease,
                    new EngineControl(http, clock::millis),
                    config,
                    () -> new FleetView(List.of(empty(engine)), Set.of(), storeAnswers.get(), true),
                    clock,
                    log,
                    meters);
            lease.start();
            placer.start();
            GatewayFixture.await(
                    () -> !lease.term(clock.millis()).equals(LeaderLease.NONE), "this process is the leader");
            Thread.sleep(2_000); // longer than the first plan waits for more engines
            assertEquals(engine.layers(), "0-0");
            storeAnswers.set(true);
            GatewayFixture.await(() -> engine.layers().equals("0-8"), "the layers are placed");
            placer.stop();
            lease.stop();
        } finally {
            log.stop();
            http.stop();
        }
    }
}
