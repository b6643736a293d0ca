package org.cornelramp.gateway.request;

import static org.testng.Assert.assertEquals;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.cornelramp.gateway.GatewayFixture;
import org.cornelramp.platform.standin.StandInServer;
import org.cornelramp.platform.standin.StandInServer.Behaviour;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Clients that disconnect, and clients that pipeline a request, while a request of theirs is in progress. */
public class ClientDisconnectProbeTest {
    /**
     * Longer than any wait of the test, so that no failed write of an event can reveal that the client has
     * disconnected.
     */
    private static final long NO_EVENT_MILLIS = 30_000;

    /** More than the connection's buffer and than several reads of the probe hold. */
    private static final int LARGE_BODY = 18_000;

    /** Size of the parts in which a request is sent during a stream. */
    private static final int PART_BYTES = 700;

    private GatewayFixture fixture;

    @BeforeMethod
    public void start() throws Exception {
        fixture = new GatewayFixture();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        fixture.close();
    }

    private Socket connect() throws IOException {
        return new Socket(
                fixture.settings.requests().host(), fixture.settings.requests().port());
    }

    private void send(Socket socket, String path, String id) throws IOException {
        String request = fixture.client().rawRequest(path, id);
        socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Guards against an engine that works for a disconnected client until the deadline: the client closes its
     * connection before the first event, and the gateway has nothing to write, so no failed write reveals it. The
     * gateway must detect the close and close its connection to the engine.
     */
    @Test
    public void disconnectBeforeTheFirstEventReleasesTheEngine() throws Exception {
        for (StandInServer engine : new StandInServer[] {fixture.firstEngine, fixture.secondEngine}) {
            engine.setBehaviour(Behaviour.ordinary().withPauseMillis(NO_EVENT_MILLIS));
        }
        try (Socket client = connect()) {
            send(client, "/chat/a", "leaves");
            GatewayFixture.await(() -> fixture.received("leaves") == 1, "the engine has the request");
        }
        GatewayFixture.await(
                () -> fixture.log().lines().anyMatch(line -> line.contains("leaves") && line.contains("client gone")),
                "the gateway aborts the request");
    }

    /**
     * Guards against the loss of a pipelined request: the probe reads the first bytes of the client's next request
     * while the first one is in progress. Both requests must be answered, in order.
     */
    @Test
    public void pipelinedRequestIsAnsweredNext() throws Exception {
        for (StandInServer app : new StandInServer[] {fixture.firstApp, fixture.secondApp}) {
            app.setBehaviour(Behaviour.ordinary().withPauseMillis(3 * ClientDisconnectProbe.INTERVAL_MILLIS));
        }
        try (Socket client = connect()) {
            send(client, "/look/a", "first");
            GatewayFixture.await(() -> fixture.received("first") == 1, "the first request runs");
            send(client, "/look/a", "second");
            BufferedReader responses =
                    new BufferedReader(new InputStreamReader(client.getInputStream(), StandardCharsets.UTF_8));
            assertEquals(nextResponseId(responses), "first");
            assertEquals(nextResponseId(responses), "second");
        }
    }

    private void setAppPause(long millis) {
        Behaviour behaviour = Behaviour.ordinary().withPauseMillis(millis);
        fixture.firstApp.setBehaviour(behaviour);
        fixture.secondApp.setBehaviour(behaviour);
    }

    /** A request whose body is the id, padded to the given length. */
    private byte[] padded(String id, int length) {
        String body = id + "x".repeat(length - id.length());
        String request = fixture.client()
                .rawRequest("/book/a", id)
                .replace(
                        "Content-Length: " + id.length() + "\r\n\r\n" + id,
                        "Content-Length: " + length + "\r\n\r\n" + body);
        return request.getBytes(StandardCharsets.UTF_8);
    }

    private void assertAnsweredInOrder(Socket client, String... ids) throws IOException {
        BufferedReader responses =
                new BufferedReader(new InputStreamReader(client.getInputStream(), StandardCharsets.UTF_8));
        for (String id : ids) {
            assertEquals(nextResponseId(responses), id);
        }
    }

    /**
     * Guards against bytes that are lost when the connection has read the start of a large pipelined request together
     * with the first request: its buffer is full, and the bytes that the probe reads no longer fit.
     */
    @Test
    public void largePipelinedRequestThatArrivesWithTheFirstIsAnsweredWhole() throws Exception {
        setAppPause(3 * ClientDisconnectProbe.INTERVAL_MILLIS);
        ByteArrayOutputStream sent = new ByteArrayOutputStream();
        sent.write(fixture.client().rawRequest("/book/a", "first").getBytes(StandardCharsets.UTF_8));
        sent.write(padded("second", LARGE_BODY));
        try (Socket client = connect()) {
            client.getOutputStream().write(sent.toByteArray());
            assertAnsweredInOrder(client, "first", "second");
        }
        assertEquals(fixture.received("second" + "x".repeat(LARGE_BODY - "second".length())), 1);
    }

    /** Guards against pipelined requests that are lost, reordered or run twice when the probe reads parts of them. */
    @Test
    public void severalPipelinedRequestsAreAnsweredInOrder() throws Exception {
        setAppPause(3 * ClientDisconnectProbe.INTERVAL_MILLIS);
        try (Socket client = connect()) {
            send(client, "/book/a", "first");
            GatewayFixture.await(() -> fixture.received("first") == 1, "the first request runs");
            send(client, "/book/a", "second");
            client.getOutputStream().write(padded("third", LARGE_BODY));
            send(client, "/book/a", "fourth");
            assertAnsweredInOrder(client, "first", "second", "third", "fourth");
        }
        assertEquals(fixture.received("first"), 1);
        assertEquals(fixture.received("second"), 1);
        assertEquals(fixture.received("third" + "x".repeat(LARGE_BODY - "third".length())), 1);
        assertEquals(fixture.received("fourth"), 1);
    }

    /** Guards against a pipelined request that is lost when events are written while the probe reads its bytes. */
    @Test
    public void requestPipelinedInPartsDuringAStreamIsAnsweredNext() throws Exception {
        long pause = 2 * ClientDisconnectProbe.INTERVAL_MILLIS;
        fixture.engines.forEach(
                engine -> engine.setBehaviour(Behaviour.ordinary().withPauseMillis(pause)));
        byte[] next = padded("next", LARGE_BODY);
        try (Socket client = connect()) {
            send(client, "/chat/a", "begun");
            BufferedReader responses =
                    new BufferedReader(new InputStreamReader(client.getInputStream(), StandardCharsets.UTF_8));
            assertEquals(nextResponseId(responses), "begun");
            for (int at = 0; at < next.length; at += PART_BYTES) {
                client.getOutputStream().write(next, at, Math.min(PART_BYTES, next.length - at));
            }
            List<String> events = new ArrayList<>();
            String line = responses.readLine();
            while (!line.startsWith("HTTP/1.1 200")) {
                if (line.startsWith("data: ")) {
                    events.add(line.substring("data: ".length()));
                }
                line = responses.readLine();
            }
            assertEquals(events, List.of("piece 0", "piece 1", "piece 2", "piece 3", "piece 4"));
            assertEquals(nextResponseId(responses), "next");
        }
        assertEquals(fixture.received("begun"), 1);
        assertEquals(fixture.received("next" + "x".repeat(LARGE_BODY - "next".length())), 1);
    }

    /**
     * Guards against an engine that works on for a client that has pipelined a request and then closed its connection:
     * the probe must go on after it has read bytes.
     */
    @Test
    public void disconnectAfterAPipelinedRequestReleasesTheEngine() throws Exception {
        fixture.engines.forEach(
                engine -> engine.setBehaviour(Behaviour.ordinary().withPauseMillis(NO_EVENT_MILLIS)));
        try (Socket client = connect()) {
            send(client, "/chat/a", "leaves");
            GatewayFixture.await(() -> fixture.received("leaves") == 1, "the engine has the request");
            send(client, "/book/a", "ahead");
        }
        GatewayFixture.await(
                () -> fixture.log().lines().anyMatch(line -> line.contains("leaves") && line.contains("client gone")),
                "the gateway aborts the request");
        assertEquals(fixture.received("ahead"), 0);
    }

    private static String nextResponseId(BufferedReader responses) throws IOException {
        String line = responses.readLine();
        while (line != null && !line.toLowerCase(Locale.ROOT).startsWith("x-attempt-id: ")) {
            line = responses.readLine();
        }
        return line == null ? "none" : line.substring("x-attempt-id: ".length());
    }
}
