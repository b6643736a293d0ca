package org.cornelramp.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import java.io.ByteArrayOutputStream;
import java.net.http.HttpResponse;
import java.time.Clock;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.cornelramp.core.settings.GatewaySettings;
import org.cornelramp.core.settings.GatewaySettingsReader;
import org.cornelramp.gateway.log.EventLog;
import org.cornelramp.platform.standin.FreePorts;
import org.cornelramp.platform.standin.StandInClient;
import org.cornelramp.platform.standin.StandInConfig;
import org.cornelramp.platform.standin.StandInServer;
import org.cornelramp.platform.standin.StandInStore;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Requests that arrive while a gateway starts and has no configuration yet, as when all gateways restart at once and
 * their clients reconnect immediately.
 */
public class GatewayStartTest {
    private final EventLog log = new EventLog(new ByteArrayOutputStream(), Clock.systemUTC(), "g1");
    private StandInStore store;
    private StandInServer app;
    private GatewaySettings settings;
    private Gateway gateway;

    @BeforeMethod
    public void open() throws Exception {
        store = new StandInStore();
        app = new StandInServer(store, "a1", "app", "dc1", "");
        List<Integer> ports = FreePorts.find(5);
        ports.set(4, store.address().port());
        settings = new GatewaySettingsReader()
                .read(GatewayFixture.settingsText(ports, ""))
                .get();
        gateway = new Gateway(settings, SteadyClock.system(), log);
    }

    @AfterMethod(alwaysRun = true)
    public void close() throws Exception {
        gateway.close();
        app.close();
        store.close();
    }

    private CompletableFuture<HttpResponse<String>> send(String id) {
        return new StandInClient(settings.requests(), StandInConfig.KEY).sendAsync("/book/a", id, "x");
    }

    /**
     * Guards against refused clients during a start: one connects when only the address is bound, another one when the
     * gateway accepts requests but has no configuration. Both must be served as soon as the configuration is read.
     */
    @Test
    public void requestsDuringAStartWaitForTheConfiguration() throws Exception {
        CompletableFuture<HttpResponse<String>> first = send("before-start");
        Thread.sleep(100);
        gateway.start();
        CompletableFuture<HttpResponse<String>> second = send("before-configuration");
        Thread.sleep(200);
        assertFalse(second.isDone(), "answered without a configuration");
        store.publishConfig(StandInConfig.small(1).json());
        assertEquals(first.get().statusCode(), 200);
        assertEquals(second.get().statusCode(), 200);
    }

    /**
     * The store has no configuration for longer than requests are delayed: the client gets a refusal with a time to
     * retry.
     */
    @Test
    public void requestIsRefusedWhenNoConfigurationArrives() throws Exception {
        gateway.start();
        HttpResponse<String> answer = send("no-configuration").get();
        assertEquals(answer.statusCode(), 503);
        assertEquals(StandInClient.retryAfter(answer).isPresent(), true);
        assertEquals(app.received().size(), 0);
    }
}
