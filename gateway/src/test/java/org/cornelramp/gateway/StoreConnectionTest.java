package org.cornelramp.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.testng.annotations.Test;

/** Idle connections to the store. */
public class StoreConnectionTest {
    private static final int IDLE_MILLIS = 200;
    private static final int TIMEOUT_MILLIS = 20_000;
    private static final int END = -1;

    /** Guards against a read on a connection that has stopped long ago: it is closed before it is used again. */
    @Test
    public void idleConnectionIsClosed() throws Exception {
        HttpClients clients = new HttpClients(IDLE_MILLIS);
        clients.start();
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            CompletableFuture<ContentResponse> answer = new CompletableResponseListener(
                            clients.store().newRequest("127.0.0.1", server.getLocalPort()))
                    .send();
            try (Socket connection = server.accept()) {
                connection.setSoTimeout(TIMEOUT_MILLIS);
                assertNotEquals(connection.getInputStream().read(), END); // an answer before the request fails it
                connection
                        .getOutputStream()
                        .write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                assertEquals(answer.get().getStatus(), 200);
                int next = connection.getInputStream().read();
                while (next != END) { // the rest of the request
                    next = connection.getInputStream().read();
                }
            }
        } finally {
            clients.stop();
        }
    }
}
