package org.cornelramp.ports.http;

import static org.testng.Assert.assertEquals;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.cornelramp.ports.PlatformException;
import org.cornelramp.ports.ServiceClient;
import org.cornelramp.ports.ServiceReply;
import org.testng.annotations.Test;

/**
 * Guards against one timeout for each pooled connection when a middlebox between agent and service loses its state of
 * all open connections while new ones work. Three connections are pooled; after the first timeout on one of them, every
 * later call must use a new connection.
 */
public class SilentConnectionsTest {

    @Test
    public void oneTimeoutEvictsAllOpenConnections() throws Exception {
        CountDownLatch allConnected = new CountDownLatch(3);
        try (RawServer server = new RawServer((connection, request) -> answer(allConnected, connection, request));
                PlatformFixture fixture = new PlatformFixture(HttpTimeouts.DEFAULTS)) {
            ServiceClient service = fixture.platform().service(server.url());
            CompletableFuture<ServiceReply> first = service.call(PlatformFixture.booking(5_000));
            CompletableFuture<ServiceReply> second = service.call(PlatformFixture.booking(5_000));
            service.call(PlatformFixture.booking(5_000)).join();
            first.join();
            second.join();

            PlatformException failure = PlatformFixture.failureOf(service.call(PlatformFixture.booking(300)));

            assertEquals(failure.kind(), PlatformException.Kind.ANSWER_LOST);
            for (int i = 0; i < 3; i++) {
                assertEquals(service.call(PlatformFixture.booking(5_000)).join().status(), 200);
            }
            assertEquals(server.requests().size(), 7);
        }
    }

    private static String answer(CountDownLatch allConnected, int connection, int request) {
        if (connection < 3 && request > 0) {
            return null;
        }
        if (connection < 3) {
            allConnected.countDown();
            try {
                allConnected.await(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        return RawServer.answer(200, "", "{}");
    }
}
