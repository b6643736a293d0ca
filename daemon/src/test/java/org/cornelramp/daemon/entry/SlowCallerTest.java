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
 * A caller requests a stream and does not read it. Once the buffered bytes exceed the bound, the stream is cut and the
 * session is notified, so that its memory and its engine slots are released. What the caller reads later lacks the end
 * marker, so it cannot pass for complete.
 */
public class SlowCallerTest {
    private static final int MAX_BUFFERED_BYTES = 1 << 16;
    private static final int MAX_EVENTS = 100_000;

    private final CompletableFuture<HttpAnswer> answerCreated = new CompletableFuture<>();
    private Server server;

    @BeforeMethod
    public void start() throws Exception {
        server = new Server(0);
        server.setHandler(new Handler.Abstract.NonBlocking() {
            @Override
            public boolean handle(Request request, Response response, Callback callback) {
                answerCreated.complete(new HttpAnswer("r-1", response, callback, MAX_BUFFERED_BYTES));
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
    public void cutsStreamThatNeverLooksComplete() throws Exception {
        int port = ((ServerConnector) server.getConnectors()[0]).getLocalPort();
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            String head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            HttpAnswer answer = answerCreated.get(15, TimeUnit.SECONDS);
            CountDownLatch broken = new CountDownLatch(1);
            answer.onConnectionLost(broken::countDown);
            byte[] event = new byte[1 << 10];
            int sent = 0;
            while (sent < MAX_EVENTS && answer.sendEvent(event)) {
                sent++;
            }
            assertTrue(sent < MAX_EVENTS, "the buffer bound was not enforced");
            assertTrue(broken.await(15, TimeUnit.SECONDS));
            assertFalse(answer.sendEvent(event));
            answer.endStream();
            String received = readUntilCut(socket.getInputStream());
            assertFalse(received.contains("[DONE]"));
            assertFalse(received.endsWith("0\r\n\r\n"), "the chunked body has its final chunk");
        }
    }

    private static String readUntilCut(InputStream in) {
        StringBuilder received = new StringBuilder();
        byte[] piece = new byte[1 << 16];
        try {
            for (int count = in.read(piece); count >= 0; count = in.read(piece)) {
                received.append(new String(piece, 0, count, StandardCharsets.ISO_8859_1));
            }
        } catch (IOException e) {
            // A cut stream may reach the caller as a connection reset.
            return received.toString();
        }
        return received.toString();
    }
}
