package org.cornelramp.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Answers without a length, which end with their connection. */
public class ResetAwareConnectorTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\n\r\n";
    private static final String PART = "the first part";

    private final HttpClients clients = new HttpClients();
    private ServerSocket server;

    @BeforeMethod
    public void start() throws Exception {
        server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        clients.start();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        clients.stop();
        server.close();
    }

    /** Takes one request, answers without a length, and then closes or resets the connection. */
    private void answerOnce(boolean reset, CountDownLatch partTaken) {
        Thread thread = new Thread(() -> {
            try (Socket socket = server.accept()) {
                socket.getInputStream().read(new byte[4_096]);
                socket.getOutputStream().write((HEAD + PART).getBytes(StandardCharsets.UTF_8));
                partTaken.await();
                if (reset) {
                    socket.setSoLinger(true, 0);
                }
            } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e); // the client's failure shows the rest
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private CompletableFuture<ContentResponse> ask(CountDownLatch partTaken) {
        var request = clients.pooled().newRequest("127.0.0.1", server.getLocalPort());
        request.onResponseContent((response, bytes) -> partTaken.countDown());
        return new CompletableResponseListener(request).send();
    }

    /**
     * A backend server crashes in the middle of an answer that has no length. Its kernel resets the connection. The
     * client must not take the part that came for the whole answer, so the request has to fail.
     */
    @Test
    public void aResetFailsAnAnswerWithoutLength() throws Exception {
        CountDownLatch partTaken = new CountDownLatch(1);
        answerOnce(true, partTaken);
        Throwable failure = ask(partTaken).handle((answer, fault) -> fault).get();
        assertTrue(failure instanceof IOException, "the answer looked whole: " + failure);
    }

    /** The server ends its answer as it should, and the answer is whole. */
    @Test
    public void aCloseEndsAnAnswerWithoutLength() throws Exception {
        CountDownLatch partTaken = new CountDownLatch(1);
        answerOnce(false, partTaken);
        assertEquals(ask(partTaken).get().getContentAsString(), PART);
    }
}
