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

/** Clients that leave, and clients that send ahead, while a request of theirs is under way. */
public class ClientProbeTest {
    /** Longer than the test waits for anything, so no event can show the gateway that a client has left. */
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
        String request = fixture.client().text(path, id);
        socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * A client sends a prompt and closes its connection before the first event, while the engine is still reading. The
     * gateway has nothing to write, so no failed write tells it. It must notice by itself and close its connection to
     * the engine, or the engine works on for nobody until the deadline.
     */
    @Test
    public void aClientThatLeavesBeforeTheFirstEventFreesItsEngine() throws Exception {
        for (StandInServer engine : new StandInServer[] {fixture.firstEngine, fixture.secondEngine}) {
            engine.setBehaviour(Behaviour.ordinary().withPauseMillis(NO_EVENT_MILLIS));
        }
        try (Socket client = connect()) {
            send(client, "/chat/a", "leaves");
            GatewayFixture.await(() -> fixture.received("leaves") == 1, "the engine has the request");
        }
        GatewayFixture.await(
                () -> fixture.log().lines().anyMatch(line -> line.contains("leaves") && line.contains("client gone")),
                "the gateway breaks the request off");
    }

    /**
     * A client sends its next request while the answer to the first is under way. The probe reads those bytes; they
     * are the start of a request, so both requests get their answers, in order.
     */
    @Test
    public void aRequestThatIsSentAheadIsAnsweredNext() throws Exception {
        for (StandInServer app : new StandInServer[] {fixture.firstApp, fixture.secondApp}) {
            app.setBehaviour(Behaviour.ordinary().withPauseMillis(3 * ClientProbe.INTERVAL_MILLIS));
        }
        try (Socket client = connect()) {
            send(client, "/look/a", "first");
            GatewayFixture.await(() -> fixture.received("first") == 1, "the first request runs");
            send(client, "/look/a", "second");
            BufferedReader answers =
                    new BufferedReader(new InputStreamReader(client.getInputStream(), StandardCharsets.UTF_8));
            assertEquals(nextAnswered(answers), "first");
            assertEquals(nextAnswered(answers), "second");
        }
    }

    private static String nextAnswered(BufferedReader answers) throws IOException {
        String line = answers.readLine();
        while (line != null && !line.toLowerCase(Locale.ROOT).startsWith("x-attempt-id: ")) {
            line = answers.readLine();
        }
        return line == null ? "none" : line.substring("x-attempt-id: ".length());
    }
}
