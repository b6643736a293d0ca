package org.cornelramp.daemon.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.cornelramp.core.settings.BoundSettings;
import org.cornelramp.core.settings.HostPort;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Promise;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * Requests that are not HTTP, that exceed the limits on headers or bodies, or that match no route are answered with a
 * problem document of the matching kind and outcome not-run, and the next request is answered as usual.
 */
public class BadRequestsTest {
    /** More than the socket buffers of a loopback connection hold. */
    private static final int LARGE_BYTES = 12 << 20;

    private final SimpleMeterRegistry meters = new SimpleMeterRegistry();
    private HttpServer server;

    /** Reads the body and answers with its length. */
    private static final class EchoLengthHandler extends Handler.Abstract {
        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            Content.Source.asString(
                    request,
                    StandardCharsets.UTF_8,
                    Promise.from(
                            body -> Content.Sink.write(response, true, "length=" + body.length(), callback),
                            callback::failed));
            return true;
        }
    }

    @BeforeClass
    public void start() throws Exception {
        Routes routes = new Routes();
        routes.add("POST", "/echo", new EchoLengthHandler());
        BoundSettings bounds = new BoundSettings(2_048, 1_024, 1_024, 64, 1, 1, 1);
        server = new HttpServer(new HostPort("127.0.0.1", 0), bounds, routes, meters);
        server.start();
    }

    @AfterClass
    public void stop() {
        server.stop();
    }

    private String send(String request) throws IOException {
        try (Socket socket =
                new Socket(InetAddress.getLoopbackAddress(), server.address().port())) {
            socket.setSoTimeout(20_000);
            OutputStream out = socket.getOutputStream();
            out.write(request.getBytes(StandardCharsets.UTF_8));
            out.flush();
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private static String post(String path, String headers, String body) {
        return "POST " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" + headers + "Content-Length: "
                + body.length() + "\r\n\r\n" + body;
    }

    private void assertProblem(String answer, int status, String kind) throws IOException {
        assertTrue(answer.startsWith("HTTP/1.1 " + status + " "), answer);
        assertTrue(answer.contains("application/problem+json"), answer);
        assertTrue(answer.contains("\"title\":\"" + kind + "\""), answer);
        assertTrue(answer.contains("\"outcome\":\"not-run\""), answer);
        assertTrue(send(post("/echo", "", "hello")).endsWith("length=5"));
    }

    @Test
    public void headAboveLimitIsRefused() throws IOException {
        assertProblem(send(post("/echo", "X-Long: " + "a".repeat(2_000) + "\r\n", "")), 431, "headers-too-large");
    }

    @Test
    public void bodyAboveLimitIsRefused() throws IOException {
        assertProblem(send(post("/echo", "", "b".repeat(4_000))), 413, "request-too-large");
    }

    @Test
    public void chunkedBodyAboveLimitIsRefused() throws IOException {
        String chunk = "800\r\n" + "c".repeat(0x800) + "\r\n";
        assertProblem(
                send("POST /echo HTTP/1.1\r\nHost: x\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk
                        + chunk + "0\r\n\r\n"),
                413,
                "request-too-large");
    }

    /**
     * Guards against a refusal that is lost when a caller sends a whole body above the limit before it reads the
     * answer, as simple clients do. If the server closes the connection with bytes unread, the connection is reset
     * while the caller is still sending. On a busy machine 5 of 60 callers with a body of twice the limit failed with
     * "header parser received no bytes"; no caller with another body failed.
     */
    @Test
    public void callerThatSendsWholeBodyFirstReceivesRefusal() throws Exception {
        assertProblem(send(post("/echo", "", "d".repeat(LARGE_BYTES))), 413, "request-too-large");
    }

    @Test
    public void requestThatIsNotHttpIsRefused() throws IOException {
        assertProblem(send("hello there\r\n\r\n"), 400, "malformed-request");
    }

    @Test
    public void unknownPathIsNotFound() throws IOException {
        double before = meters.counter("cornelramp.http.unrouted").count();
        assertProblem(send(post("/nothing", "", "")), 404, "not-found");
        assertEquals(meters.counter("cornelramp.http.unrouted").count(), before + 1);
    }
}
