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

/** A gateway before engines and two plain services, all on loopback. */
public final class GatewayFixture implements AutoCloseable {
    /** The key that the configuration knows. */
    public static final String KEY = StandInConfig.KEY;

    /** Settings of a gateway that may send nothing a second time. */
    public static final String NO_REPEATS = ",\"retries\":{\"ratio\":0,\"reserve\":0,\"windowSeconds\":2}";

    private static final long PATIENCE_MILLIS = 20_000;

    /** Memory of a card for four of the eight layers and some requests. */
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
     * @param more more of the settings, each with a comma before it
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
        List<Integer> ports = FreePorts.take(5);
        ports.set(4, store.address().port());
        settings = new GatewaySettingsReader().read(settingsText(ports, more)).get();
        log = new EventLog(logged, Clock.systemUTC(), "g1");
        log.start();
        gateway = new Gateway(settings, SteadyClock.system(), log);
        gateway.start();
        await(() -> placed().equals(layers), "the layers are placed");
        await(this::chats, "a chat is served");
    }

    /**
     * Engines of which each holds half of the model, so that a stream passes two of them.
     *
     * @param copies engines for each half
     * @param more more of the settings, each with a comma before it
     */
    static GatewayFixture ofHalves(int copies, String more) throws Exception {
        List<String> layers = new ArrayList<>(Collections.nCopies(copies, "0-4"));
        layers.addAll(Collections.nCopies(copies, "4-8"));
        return new GatewayFixture(more, ofHalvesConfig(1), layers);
    }

    /** A version of the configuration for engines of which each holds half of the model. */
    static StandInConfig ofHalvesConfig(int version) {
        return StandInConfig.small(version).withCardMb(HALF_MODEL_MB);
    }

    private List<String> placed() {
        return engines.stream().map(StandInServer::layers).sorted().toList();
    }

    /** A configuration of that version whose streams are served below a prefix. */
    public static String config(int version, String chatPrefix) {
        return StandInConfig.small(version).withChatPrefix(chatPrefix).json();
    }

    /**
     * Settings of a gateway on loopback.
     *
     * @param ports for requests, readiness, metrics and peers, and the store's
     * @param more more of the settings, each with a comma before it
     */
    static String settingsText(List<Integer> ports, String more) {
        String address = "\"127.0.0.1:%d\"";
        return ("{\"name\":\"g1\",\"dataCentre\":\"dc1\",\"requests\":" + address + ",\"readiness\":" + address
                                + ",\"metrics\":" + address + ",\"peers\":" + address + ",\"store\":" + address
                                + ",\"timing\":{\"graceSeconds\":6}")
                        .formatted(ports.toArray())
                + more + "}";
    }

    private boolean chats() {
        try {
            return client().send("/chat/warm", "warm", "x").statusCode() == 200;
        } catch (Exception e) {
            return false;
        }
    }

    /** A client with the right key. */
    public StandInClient client() {
        return new StandInClient(settings.requests(), KEY);
    }

    private List<StandInServer> servers() {
        return Stream.concat(engines.stream(), Stream.of(firstApp, secondApp)).toList();
    }

    /** What the gateway has logged. */
    public String log() {
        return logged.toString(StandardCharsets.UTF_8);
    }

    /** Requests of an id that servers have received. */
    public long received(String body) {
        return servers().stream()
                .flatMap(server -> server.received().stream())
                .filter(request -> request.body().equals(body))
                .count();
    }

    /** Waits until a condition holds. */
    public static void await(BooleanSupplier condition, String what) throws Exception {
        long until = System.nanoTime() + PATIENCE_MILLIS * 1_000_000L;
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
