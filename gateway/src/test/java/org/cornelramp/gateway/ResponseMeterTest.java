package org.cornelramp.gateway;

import static org.testng.Assert.assertTrue;

import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.client.Request;
import org.testng.annotations.Test;

/** The time that counts as receiving on a connection. */
public class ResponseMeterTest {
    private static final int PIECES = 15;
    private static final long PAUSE_MILLIS = 150;

    private static void respondInPieces(ServerSocket listener) {
        try (Socket connection = listener.accept()) {
            connection.setTcpNoDelay(true);
            OutputStream out = connection.getOutputStream();
            out.write("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            for (int i = 0; i < PIECES; i++) {
                out.write('x');
                Thread.sleep(PAUSE_MILLIS);
            }
            Thread.sleep(PAUSE_MILLIS);
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    /** Guards against a sound stream that is rejected because its pauses add up to the limit for arriving bytes. */
    @Test
    public void pausesDoNotCountAsReceiving() throws Exception {
        HttpClients clients = new HttpClients(1_000);
        clients.start();
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Request request = clients.pooled().newRequest("127.0.0.1", listener.getLocalPort());
            request.send(result -> {});
            CompletableFuture.runAsync(() -> respondInPieces(listener)).join();
            long millis = ResponseMeter.of(request).orElseThrow().receivingMillis();
            assertTrue(millis < 1_000, millis + " ms count as receiving");
        } finally {
            clients.stop();
        }
    }
}
