package org.cornelramp.gateway.follow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.client.HttpClient;
import org.testng.annotations.Test;

/** Reads from peers that do not answer. */
public class PeerRecordsClientTest {
    private static final long TEST_TIMEOUT_MILLIS = 20_000;

    /** Guards against a follower that waits two seconds for the rest of an answer, while the store has it at once. */
    @Test(timeOut = TEST_TIMEOUT_MILLIS)
    public void halfAnAnswerIsAbandonedSoon() throws Exception {
        AtomicLong clock = new AtomicLong(1_000);
        HttpClient http = new HttpClient();
        http.start();
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            PeerRecordsClient peers = new PeerRecordsClient(http, server.getLocalPort(), List::of, clock::get);
            CompletableFuture<Optional<byte[]>> fetched =
                    CompletableFuture.supplyAsync(() -> peers.fetchConfig("127.0.0.1"));
            try (Socket connection = server.accept()) {
                connection
                        .getOutputStream()
                        .write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf".getBytes(StandardCharsets.US_ASCII));
                connection.getInputStream().read(); // the request has been sent
                while (!fetched.isDone() && clock.get() < 3_000) {
                    clock.addAndGet(50);
                    Thread.sleep(20);
                }
                assertTrue(fetched.isDone());
                assertEquals(fetched.get(), Optional.empty());
            }
        } finally {
            http.stop();
        }
    }
}
