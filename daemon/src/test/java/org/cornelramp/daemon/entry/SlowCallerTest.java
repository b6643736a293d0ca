package org.cornelramp.daemon.entry;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * A caller asks for a stream and then reads nothing. Once what waits for it is over the bound, the stream is cut and
 * the session told, so that its memory and its place at the engines are free again. What the caller finds when it
 * reads at last lacks the end, so it cannot pass for complete.
 */
public class SlowCallerTest {
    private static final int BOUND = 1 << 16;
    private static final int MOST_EVENTS = 100_000;

    private final CompletableFuture<HttpAnswer> asked = new CompletableFuture<>();
    private Server server;

    @BeforeMethod
    public void start() throws Exception {
        server = new Server(0);
        server.setHandler(new Handler.Abstract.NonBlocking() {
            @Override
            public boolean handle(Request request, Response response, Callback callback) {
                asked.complete(new HttpAnswer("r-1", response, callback, BOUND));
                return true;
            }
        });
        server.start();
    }

    @AfterMethod
    public void stop() throws Exception {
        server.stop();
    }

    @Test
    public void isCutAndNeverLooksComplete() throws Exception {
        int port = ((ServerConnector) server.getConnectors()[0]).getLocalPort();
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            String head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            HttpAnswer answer = asked.get(15, TimeUnit.SECONDS);
            CountDownLatch broken = new CountDownLatch(1);
            answer.onBroken(broken::countDown);
            byte[] event = new byte[1 << 10];
            int sent = 0;
            while (sent < MOST_EVENTS && answer.event(event)) {
                sent++;
            }
            assertTrue(sent < MOST_EVENTS, "the bound was never reached");
            assertTrue(broken.await(15, TimeUnit.SECONDS));
            assertFalse(answer.event(event));
            answer.endStream();
            String came = readUntilCut(socket.getInputStream());
            assertFalse(came.contains("[DONE]"));
            assertFalse(came.endsWith("0\r\n\r\n"), "the chunked body was ended properly");
        }
    }

    private static String readUntilCut(InputStream in) {
        StringBuilder came = new StringBuilder();
        byte[] piece = new byte[1 << 16];
        try {
            for (int count = in.read(piece); count >= 0; count = in.read(piece)) {
                came.append(new String(piece, 0, count, StandardCharsets.ISO_8859_1));
            }
        } catch (IOException e) {
            // A reset is one of the ways in which a caller sees that the stream was cut.
            return came.toString();
        }
        return came.toString();
    }
}
