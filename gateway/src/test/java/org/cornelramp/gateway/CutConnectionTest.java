package org.cornelramp.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.core.routing.Route;
import org.cornelramp.core.routing.RouteKind;
import org.cornelramp.core.routing.WeightedService;
import org.cornelramp.gateway.request.Attempt;
import org.cornelramp.gateway.request.AttemptEnd;
import org.cornelramp.gateway.request.FakeClient;
import org.cornelramp.platform.ForwardedHead;
import org.cornelramp.platform.standin.HeaderFixtures;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Attempts whose connection the server closes or resets after each byte of its response, from the first of the head to
 * the last of the body, over real connections. Used by one thread.
 */
public class CutConnectionTest {
    private static final String ID = "r1";
    private static final String HEAD = "HTTP/1.1 200 OK\r\n"
            + HeaderFixtures.answer(ID).stream()
                    .map(field -> field.getName() + ": " + field.getValue() + "\r\n")
                    .collect(Collectors.joining());
    private static final String FIRST = "id: 0\ndata: a\n\n";
    private static final String SECOND = "id: 1\ndata: b\n\n";
    private static final String BODY = FIRST + SECOND;
    private static final int BACKLOG = 10;
    private static final long TIMEOUT_SECONDS = 20;

    private final HttpClients clients = new HttpClients(1_500);
    private ServerSocket listener;

    /** How a response states where its body ends. Immutable, safe for use by any thread. */
    private enum Framing {
        CHUNKED("Transfer-Encoding: chunked\r\n\r\n", chunk(FIRST) + chunk(SECOND) + "0\r\n\r\n"),
        LENGTH("Content-Length: " + BODY.length() + "\r\n\r\n", BODY),
        UNFRAMED("\r\n", BODY);

        private final String head;
        private final String body;

        Framing(String head, String body) {
            this.head = HEAD + head;
            this.body = body;
        }

        /** Number of bytes that show where the body ends; after the line of the last chunk only trailers may follow. */
        private int leastOfWhole() {
            int whole = head.length() + body.length();
            return switch (this) {
                case CHUNKED -> whole - "\r\n".length();
                case LENGTH -> whole;
                case UNFRAMED -> Integer.MAX_VALUE;
            };
        }

        private static String chunk(String text) {
            return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
        }
    }

    /** What an attempt has led to. Immutable. */
    private record Outcome(AttemptEnd end, String relayed) {}

    @BeforeClass
    public void start() throws Exception {
        listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        listener.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
        clients.start();
    }

    @AfterClass(alwaysRun = true)
    public void stop() throws Exception {
        clients.stop();
        listener.close();
    }

    @DataProvider
    public static Object[][] connections() {
        List<Object[]> rows = new ArrayList<>();
        for (RouteKind kind : new RouteKind[] {RouteKind.STREAMING, RouteKind.SAFE}) {
            for (Framing framing : Framing.values()) {
                rows.add(new Object[] {kind, framing, false});
                rows.add(new Object[] {kind, framing, true});
            }
        }
        return rows.toArray(Object[][]::new);
    }

    /** Guards against a part of a response that is taken for the whole because its connection is closed or reset. */
    @Test(dataProvider = "connections")
    public void brokenConnectionIsNoEndOfTheResponse(RouteKind kind, Framing framing, boolean reset) throws Exception {
        byte[] response = (framing.head + framing.body).getBytes(StandardCharsets.US_ASCII);
        for (int sent = 1; sent <= response.length; sent++) {
            Outcome outcome = attempt(kind, response, sent, reset);
            String seen = "after " + sent + " of " + response.length + " bytes: " + outcome;
            String body = BODY.substring(0, Math.max(0, Math.min(sent - framing.head.length(), BODY.length())));
            String events = body.substring(0, body.lastIndexOf("\n\n") < 0 ? 0 : body.lastIndexOf("\n\n") + 2);
            boolean isStream = kind == RouteKind.STREAMING;
            boolean ended = sent == response.length;
            if (framing == Framing.UNFRAMED) {
                ended = !reset && sent >= framing.head.length() && (!isStream || body.equals(events));
            }
            boolean mayEnd = ended || sent >= framing.leastOfWhole();
            boolean mayBreak = !ended || reset; // a reset may overtake the last bytes
            boolean broken = outcome.end().kind() == AttemptEnd.Kind.BROKEN;
            assertTrue(broken ? mayBreak : mayEnd, seen);
            if (!broken) {
                String received =
                        isStream ? outcome.relayed() : new String(outcome.end().body(), StandardCharsets.US_ASCII);
                assertEquals(received, framing == Framing.UNFRAMED ? body : BODY, seen);
            }
        }
    }

    /** Guards against an empty response that looks whole because its server stopped in the middle of the head. */
    @Test(dataProvider = "connections")
    public void cutHeadWithBareLineFeedsIsNoResponse(RouteKind kind, Framing framing, boolean reset) throws Exception {
        assertHeadIsNoResponse(kind, framing.head.replace("\r\n", "\n"), reset);
    }

    /** Guards against an attempt that goes on until its deadline after the server has closed the connection. */
    @Test(dataProvider = "connections", groups = "known-red")
    public void cutHeadAfterAnInterimHeadIsNoResponse(RouteKind kind, Framing framing, boolean reset) throws Exception {
        assertHeadIsNoResponse(kind, "HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n" + framing.head, reset);
    }

    private void assertHeadIsNoResponse(RouteKind kind, String head, boolean reset) throws Exception {
        byte[] response = head.getBytes(StandardCharsets.US_ASCII);
        for (int sent = 1; sent < response.length; sent++) {
            Outcome outcome = attempt(kind, response, sent, reset);
            String seen = "after " + sent + " of " + response.length + " bytes: " + outcome;
            assertEquals(outcome.end().kind(), AttemptEnd.Kind.BROKEN, seen);
            assertEquals(outcome.relayed(), "", seen);
        }
    }

    private Outcome attempt(RouteKind kind, byte[] response, int sent, boolean reset) throws Exception {
        BackendServer server = TestServers.plain("p1", listener.getLocalPort());
        FakeClient client = new FakeClient(route(kind), ID, 0);
        ForwardedHead head = new ForwardedHead(
                server.name(), 9_000, Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty());
        CompletableFuture<AttemptEnd> ended = new CompletableFuture<>();
        Attempt attempt = new Attempt(
                clients.unpooled(), client.exchange(), server, head, () -> 1, (any, end) -> ended.complete(end));
        attempt.start(0);
        respond(response, sent, reset);
        AttemptEnd end = ended.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        return new Outcome(end, client.received());
    }

    private void respond(byte[] response, int sent, boolean reset) throws IOException {
        try (Socket socket = listener.accept()) {
            readHead(socket.getInputStream());
            socket.getOutputStream().write(response, 0, sent);
            if (reset) {
                socket.setSoLinger(true, 0);
            }
        }
    }

    /** Reads a request without a body; what is left unread would make the close a reset. */
    private static void readHead(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        while (text.indexOf("\r\n\r\n") < 0) {
            text.append((char) in.read());
        }
    }

    private static Route route(RouteKind kind) {
        return new Route(
                "route",
                "host",
                "/",
                kind,
                9_000,
                500,
                200,
                1,
                2,
                false,
                true,
                List.of(new WeightedService(new ServiceName("app"), 1)));
    }
}
