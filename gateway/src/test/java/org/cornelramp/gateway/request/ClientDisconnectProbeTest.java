package org.cornelramp.gateway.request;

import static org.testng.Assert.assertEquals;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
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

    private static String nextResponseId(BufferedReader responses) throws IOException {
        String line = responses.readLine();
        while (line != null && !line.toLowerCase(Locale.ROOT).startsWith("x-attempt-id: ")) {
            line = responses.readLine();
        }
        return line == null ? "none" : line.substring("x-attempt-id: ".length());
    }
}
