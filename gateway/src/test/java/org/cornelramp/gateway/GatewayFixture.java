package org.cornelramp.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.cornelramp.core.settings.GatewaySettings;
import org.cornelramp.core.settings.GatewaySettingsReader;
import org.cornelramp.gateway.log.EventLog;
import org.cornelramp.platform.standin.FreePorts;
import org.cornelramp.platform.standin.StandInClient;
import org.cornelramp.platform.standin.StandInConfig;
import org.cornelramp.platform.standin.StandInServer;
import org.cornelramp.platform.standin.StandInStore;

/** A gateway in front of engines and two servers of a plain service, all on loopback. */
public final class GatewayFixture implements AutoCloseable {
    /** The key that the configuration contains. */
    public static final String KEY = StandInConfig.KEY;

    /** Settings of a gateway with more retries than a test uses. */
    public static final String MANY_RETRIES = ",\"retries\":{\"ratio\":1,\"reserve\":400}";

    /** Settings of a gateway without retries. */
    public static final String NO_RETRIES = ",\"retries\":{\"ratio\":0,\"reserve\":0,\"windowSeconds\":2}";

    private static final long TIMEOUT_MILLIS = 20_000;

    /** Accelerator memory for four of the eight layers and some requests. */
    private static final int HALF_MODEL_MB = 45;

    public final StandInStore store = new StandInStore();
    public final List<StandInServer> engines;
    public final StandInServer firstEngine;
    public final StandInServer secondEngine;
    public final StandInServer firstApp;
    public final StandInServer secondApp;
    public final ByteArrayOutputStream logged = new ByteArrayOutputStream();
    public final GatewaySettings settings;
    public final Gateway gateway;
    private final EventLog log;

    public GatewayFixture() throws Exception {
        this("");
    }

    /**
     * Two engines, each of which holds the whole model.
     *
     * @param more further settings, each preceded by a comma
     */
    public GatewayFixture(String more) throws Exception {
        this(more, StandInConfig.small(1), List.of("0-8", "0-8"));
    }

    private GatewayFixture(String more, StandInConfig config, List<String> layers) throws Exception {
        store.publishConfig(config.json());
        List<StandInServer> started = new ArrayList<>();
        for (int i = 1; i <= layers.size(); i++) {
            started.add(new StandInServer(store, "e" + i, "llm", "dc1", "big"));
        }
        engines = List.copyOf(started);
        firstEngine = engines.get(0);
        secondEngine = engines.get(1);
        firstApp = new StandInServer(store, "a1", "app", "dc1", "");
        secondApp = new StandInServer(store, "a2", "app", "dc1", "");
        List<Integer> ports = FreePorts.find(5);
        ports.set(4, store.address().port());
        settings = new GatewaySettingsReader().read(settingsText(ports, more)).get();
        log = new EventLog(logged, Clock.systemUTC(), "g1");
        log.start();
        gateway = new Gateway(settings, SteadyClock.system(), log);
        gateway.start();
        await(() -> placedLayers().equals(layers), "the layers are placed");
        await(this::servesChats, "a chat is served");
    }

    /**
     * Engines that each hold half of the model, so that the path of a stream has two of them.
     *
     * @param copies number of engines for each half
     * @param more further settings, each preceded by a comma
     */
    static GatewayFixture ofHalves(int copies, String more) throws Exception {
        List<String> layers = new ArrayList<>(Collections.nCopies(copies, "0-4"));
        layers.addAll(Collections.nCopies(copies, "4-8"));
        return new GatewayFixture(more, ofHalvesConfig(1), layers);
    }

    /** A version of the configuration for engines that each hold half of the model. */
    static StandInConfig ofHalvesConfig(int version) {
        return StandInConfig.small(version).withCardMb(HALF_MODEL_MB);
    }

    private List<String> placedLayers() {
        return engines.stream().map(StandInServer::layers).sorted().toList();
    }

    /** A configuration of the given version that serves streams below a path prefix. */
    public static String config(int version, String chatPrefix) {
        return StandInConfig.small(version).withChatPrefix(chatPrefix).json();
    }

    /**
     * Settings of a gateway on loopback.
     *
     * @param ports ports for requests, readiness, metrics and peers, and the port of the store
     * @param more further settings, each preceded by a comma
     */
    static String settingsText(List<Integer> ports, String more) {
        String address = "\"127.0.0.1:%d\"";
        return ("{\"name\":\"g1\",\"dataCentre\":\"dc1\",\"requests\":" + address + ",\"readiness\":" + address
                                + ",\"metrics\":" + address + ",\"peers\":" + address + ",\"store\":" + address
                                + ",\"timing\":{\"graceSeconds\":6}")
                        .formatted(ports.toArray())
                + more + "}";
    }

    private boolean servesChats() {
        try {
            return client().send("/chat/warm", "warm", "x").statusCode() == 200;
        } catch (Exception e) {
            return false;
        }
    }

    /** A client with a valid key. */
    public StandInClient client() {
        return new StandInClient(settings.requests(), KEY);
    }

    private List<StandInServer> servers() {
        return Stream.concat(engines.stream(), Stream.of(firstApp, secondApp)).toList();
    }

    /** The log of the gateway so far. */
    public String log() {
        return logged.toString(StandardCharsets.UTF_8);
    }

    /** Number of requests with the given body that the servers have received. */
    public long received(String body) {
        return servers().stream()
                .flatMap(server -> server.received().stream())
                .filter(request -> request.body().equals(body))
                .count();
    }

    /** Waits until a condition holds. */
    public static void await(BooleanSupplier condition, String what) throws Exception {
        long until = System.nanoTime() + TIMEOUT_MILLIS * 1_000_000L;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > until) {
                throw new AssertionError("not in time: " + what);
            }
            Thread.sleep(10);
        }
    }

    @Override
    public void close() throws Exception {
        gateway.close();
        log.stop();
        for (StandInServer server : servers()) {
            server.close();
        }
        store.close();
    }
}
