package org.cornelramp.gateway;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.settings.HostPort;
import org.cornelramp.gateway.follow.PeerRecordsClient;
import org.cornelramp.platform.EngineControl;
import org.cornelramp.platform.MetadataStore;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Calls of the gateway to servers whose responses never end. */
public class UnboundedCallTest {
    private static final long END_MILLIS = 20_000;

    /** The limit of a response, and what the sockets of both sides hold besides. */
    private static final long MAX_SENT_BYTES = 24L << 20;

    private HttpClients clients;
    private SteadyClock clock;

    @BeforeMethod
    public void start() throws Exception {
        clients = new HttpClients(1_000);
        clients.start();
        clock = SteadyClock.system();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        clients.stop();
    }

    /** A call to a server; returns whether it was a success. */
    private interface Call {
        boolean send(BackendServer server);
    }

    private Call report() {
        EngineControl control = new EngineControl(clients.pooled(), clock::millis);
        return server -> control.report(server).isRight();
    }

    private Call life() {
        EngineControl control = new EngineControl(clients.pooled(), clock::millis);
        return server -> {
            BackendServer plain = TestServers.plain("a1", server.address().port());
            control.askForLife(plain, "/health", 150);
            return false; // a process that holds connections open lives, whatever it sends
        };
    }

    private Call store(boolean newest) {
        return server -> {
            MetadataStore store = new MetadataStore(clients.store(), server.address(), clock::millis);
            return newest
                    ? store.newest(MetadataStore.Topic.SERVERS).isRight()
                    : store.read(MetadataStore.Topic.SERVERS, 0, 100, 400).isRight();
        };
    }

    private Call peer() {
        return server -> new PeerRecordsClient(
                        clients.pooled(), server.address().port(), List::of, clock::millis)
                .fetch(server.address(), MetadataStore.Topic.SERVERS, 0, -1)
                .isPresent();
    }

    @DataProvider
    public Object[][] calls() {
        return new Object[][] {{"report"}, {"life"}, {"newest"}, {"read"}, {"peer"}};
    }

    private Call call(String name) {
        return switch (name) {
            case "report" -> report();
            case "life" -> life();
            case "newest" -> store(true);
            case "read" -> store(false);
            default -> peer();
        };
    }

    /**
     * Guards against calls that keep a thread, a connection or memory for as long as a faulty server sends: each fails,
     * and its connection is closed. Runs all kinds of endless responses at once.
     */
    @Test(dataProvider = "calls")
    public void endlessResponseFailsTheCall(String name) throws Exception {
        Map<String, EndlessServer> servers = new TreeMap<>();
        Map<String, String> faults = new ConcurrentHashMap<>();
        for (EndlessServer.Fault fault : EndlessServer.Fault.values()) {
            servers.put(fault + " fast", new EndlessServer(fault, false, ""));
            servers.put(fault + " slow", new EndlessServer(fault, true, ""));
        }
        ExecutorService threads = Executors.newFixedThreadPool(servers.size());
        Call call = call(name);
        List<Future<?>> ends = new ArrayList<>();
        servers.forEach((key, server) -> ends.add(threads.submit((Callable<Void>) () -> {
            HostPort address = new HostPort("127.0.0.1", server.port());
            BackendServer engine = TestEngines.empty("e1", address);
            if (call.send(engine)) {
                faults.put(key, "counts as a success");
            }
            return null;
        })));
        for (Future<?> end : ends) {
            end.get();
        }
        long until = clock.millis() + END_MILLIS;
        while (servers.values().stream().anyMatch(server -> server.open() > 0) && clock.millis() < until) {
            Thread.sleep(20);
        }
        servers.forEach((key, server) -> {
            if (server.open() > 0) {
                faults.merge(key, "connection open", (a, b) -> a + ", " + b);
            }
            if (server.mostBytes() > MAX_SENT_BYTES) {
                faults.merge(key, server.mostBytes() + " bytes sent", (a, b) -> a + ", " + b);
            }
        });
        threads.shutdown();
        for (EndlessServer server : servers.values()) {
            server.close();
        }
        assertEquals(new TreeMap<>(faults).toString(), "{}");
    }
}
