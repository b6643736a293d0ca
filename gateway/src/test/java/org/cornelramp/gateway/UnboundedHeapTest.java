package org.cornelramp.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.File;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.cornelramp.core.settings.HostPort;
import org.cornelramp.platform.standin.EngineFixtures;
import org.cornelramp.platform.standin.FreePorts;
import org.cornelramp.platform.standin.StandInClient;
import org.cornelramp.platform.standin.StandInConfig;
import org.cornelramp.platform.standin.StandInServer;
import org.cornelramp.platform.standin.StandInStore;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** A gateway process with the heap of the deployment, at servers whose responses never end. */
public class UnboundedHeapTest {
    private static final int SERVERS = 20;
    private static final int STREAMS = 40;
    private static final long STOP_SECONDS = 20;

    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {List.of(EndlessServer.Fault.HEADER_LINE)},
            {List.of(EndlessServer.Fault.TRAILER)},
            {List.of(EndlessServer.Fault.values())}
        };
    }

    private static Process start(Path folder, List<Integer> ports) throws Exception {
        Path settings = folder.resolve("gateway.json");
        Files.writeString(settings, GatewayFixture.settingsText(ports, GatewayFixture.MANY_RETRIES));
        return new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx96m",
                        "-Xss256k",
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "org.cornelramp.gateway.Main",
                        "--settings",
                        settings.toString())
                .redirectErrorStream(true)
                .redirectOutput(output(folder))
                .start();
    }

    private static File output(Path folder) {
        return folder.resolve("gateway.out").toFile();
    }

    private static boolean servesChats(StandInClient client) {
        try {
            return client.send("/chat/warm", "warm", "warm").statusCode() == 200;
        } catch (Exception e) {
            return false;
        }
    }

    /**
     * Guards against a gateway that runs out of memory when 20 servers send responses without end at the same time:
     * streams at other servers are whole, each request at the faulty ones ends, and their connections are closed.
     */
    @Test(dataProvider = "faults")
    public void otherRequestsAreServed(List<EndlessServer.Fault> faults) throws Exception {
        Path folder = Files.createTempDirectory("unbounded");
        List<EndlessServer> servers = new ArrayList<>();
        try (StandInStore store = new StandInStore();
                StandInServer first = new StandInServer(store, "e1", "llm", "dc1", "big");
                StandInServer second = new StandInServer(store, "e2", "llm", "dc1", "big")) {
            store.publishConfig(StandInConfig.small(1).json());
            for (int i = 0; i < SERVERS; i++) {
                EndlessServer server = new EndlessServer(faults.get(i % faults.size()), i % 5 == 4, "");
                servers.add(server);
                store.register("a" + i, plainRegistration(server.port()));
            }
            List<Integer> ports = FreePorts.find(5);
            ports.set(4, store.address().port());
            Process gateway = start(folder, ports);
            try {
                StandInClient client = new StandInClient(new HostPort("127.0.0.1", ports.get(0)), StandInConfig.KEY);
                GatewayFixture.await(
                        () -> first.layers().equals("0-8") && second.layers().equals("0-8") && servesChats(client),
                        "a chat is served");
                check(client, servers);
                assertTrue(gateway.isAlive());
                String log = Files.readString(output(folder).toPath());
                assertFalse(log.contains("OutOfMemoryError"), log.substring(Math.max(0, log.length() - 4_000)));
            } finally {
                gateway.destroyForcibly().waitFor(STOP_SECONDS, TimeUnit.SECONDS);
            }
        } finally {
            for (EndlessServer server : servers) {
                server.close();
            }
        }
    }

    /** Guards against bodies in chunks of 16 bytes that take all threads until the deadline of their requests. */
    @Test
    public void otherRequestsAreServedBesideShortChunks() throws Exception {
        otherRequestsAreServed(List.of(EndlessServer.Fault.BODY));
    }

    private static String plainRegistration(int port) {
        return EngineFixtures.registration(port).replace("llm", "app").replaceAll(",\"kind\".*", "}");
    }

    private static void check(StandInClient client, List<EndlessServer> servers) throws Exception {
        List<CompletableFuture<HttpResponse<String>>> endless = new ArrayList<>();
        for (int i = 0; i < 2 * SERVERS; i++) {
            endless.add(client.sendAsync("/book/" + i, "endless-" + i, "x"));
        }
        GatewayFixture.await(
                () -> servers.stream().mapToInt(EndlessServer::requests).sum() >= SERVERS,
                "20 responses without an end have begun");
        for (int i = 0; i < STREAMS; i++) {
            HttpResponse<String> chat = client.send("/chat/" + i, "chat-" + i, "x");
            assertEquals(chat.statusCode(), 200);
            assertTrue(chat.body().endsWith("id: 4\ndata: piece 4\n\n"), chat.body());
        }
        for (CompletableFuture<HttpResponse<String>> each : endless) {
            each.handle((response, failure) -> response).get(); // a status, or a connection that is closed
        }
        GatewayFixture.await(
                () -> servers.stream().allMatch(server -> server.open() == 0), "the connections are closed");
    }
}
