package org.cornelramp.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.BufferedInputStream;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.core.routing.Route;
import org.cornelramp.core.routing.RouteKind;
import org.cornelramp.core.routing.WeightedService;
import org.cornelramp.gateway.request.Attempt;
import org.cornelramp.gateway.request.AttemptEnd;
import org.cornelramp.gateway.request.FakeClient;
import org.cornelramp.platform.ForwardedHead;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Plain responses in short chunks, which take more processor time than their length suggests. */
public class ShortChunksTest {
    private static final int VALID_BYTES = 15 << 10;
    private static final long END_SECONDS = 20;

    private static final Route PLAIN = new Route(
            "book",
            "host",
            "/book/",
            RouteKind.UNSAFE,
            END_SECONDS * 1_000,
            300,
            200,
            1,
            1,
            false,
            false,
            List.of(new WeightedService(new ServiceName("app"), 1)));

    private HttpClients clients;

    @BeforeMethod
    public void start() throws Exception {
        clients = new HttpClients(1_000);
        clients.start();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        clients.stop();
    }

    /** Sends one request to a server on loopback and waits for the end of the attempt. */
    private AttemptEnd send(int port) throws Exception {
        CompletableFuture<AttemptEnd> result = new CompletableFuture<>();
        SteadyClock clock = SteadyClock.system();
        FakeClient client = new FakeClient(PLAIN, "r1", clock.millis());
        BackendServer server = TestServers.plain("a1", port);
        ForwardedHead head = new ForwardedHead(
                server.name(), 1_000, Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty());
        Attempt attempt = new Attempt(
                clients.pooled(), client.exchange(), server, head, clock, (any, end) -> result.complete(end));
        attempt.start(clock.millis());
        return result.get(END_SECONDS, TimeUnit.SECONDS);
    }

    private static Void respondInBytes(ServerSocket listener) {
        try (Socket connection = listener.accept()) {
            InputStream in = new BufferedInputStream(connection.getInputStream());
            ScriptedEngine.readLine(in);
            String signed = EndlessServer.readRequest(in);
            String response = "HTTP/1.1 200 OK\r\n" + signed + "Transfer-Encoding: chunked\r\n\r\n"
                    + "1\r\nx\r\n".repeat(VALID_BYTES) + "0\r\n\r\n";
            connection.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
            in.read(); // keeps the connection open until the caller closes it
            return null;
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    /** Guards against a limit of the number of chunks that rejects a valid short response. */
    @Test
    public void shortResponseInChunksOfOneByteIsWhole() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            var unused = CompletableFuture.supplyAsync(() -> respondInBytes(listener));
            AttemptEnd end = send(listener.getLocalPort());
            assertEquals(end.kind(), AttemptEnd.Kind.ANSWERED, end.detail());
            assertEquals(new String(end.body(), StandardCharsets.US_ASCII), "x".repeat(VALID_BYTES));
        }
    }

    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {EndlessServer.Fault.BODY, "the response exceeds the buffer limit"},
            {EndlessServer.Fault.CHUNK_HEADER, "ResponseLimitException: the framing of the response exceeds"},
            {EndlessServer.Fault.CHUNK_EXTENSION, "ResponseLimitException: the framing of the response exceeds"}
        };
    }

    /**
     * Guards against a response in short chunks that is read for as long as one in long chunks of the same length, which
     * takes many times the processor time, and against one that is read on after its limit: its connection is closed.
     */
    @Test(dataProvider = "faults")
    public void unboundedResponseEndsAtTheLimitOfItsCost(EndlessServer.Fault fault, String why) throws Exception {
        try (EndlessServer server = new EndlessServer(fault, false, "")) {
            AttemptEnd end = send(server.port());
            assertEquals(end.kind(), AttemptEnd.Kind.BROKEN);
            assertTrue(end.detail().contains(why), end.detail());
            GatewayFixture.await(() -> server.open() == 0, "the connection is closed");
        }
    }
}
