package org.cornelramp.ports.http;

import static org.testng.Assert.assertEquals;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.cornelramp.ports.PlatformException;
import org.cornelramp.ports.ServiceClient;
import org.cornelramp.ports.ServiceReply;
import org.testng.annotations.Test;

/**
 * Guards against one timeout for each pooled connection when a middlebox between agent and service loses its state of
 * all open connections while new ones work. At least three connections are pooled; after the first timeout on one of
 * them, every later call must use a new connection.
 */
public class SilentConnectionsTest {
    private static final int POOLED = 3;

    @Test
    public void oneTimeoutEvictsAllOpenConnections() throws Exception {
        CountDownLatch allReceived = new CountDownLatch(POOLED);
        AtomicInteger firstWorking = new AtomicInteger();
        try (RawServer server = new RawServer((connection, request) -> {
                    allReceived.countDown();
                    return connection < firstWorking.get() ? null : answerAfter(allReceived);
                });
                PlatformFixture fixture = new PlatformFixture(HttpTimeouts.DEFAULTS)) {
            ServiceClient service = fixture.platform().service(server.url());
            CompletableFuture<ServiceReply> first = service.call(PlatformFixture.booking(5_000));
            CompletableFuture<ServiceReply> second = service.call(PlatformFixture.booking(5_000));
            service.call(PlatformFixture.booking(5_000)).join();
            first.join();
            second.join();

            firstWorking.set(Integer.MAX_VALUE);
            PlatformException failure = PlatformFixture.failureOf(service.call(PlatformFixture.booking(300)));
            firstWorking.set(server.connections());

            assertEquals(failure.kind(), PlatformException.Kind.ANSWER_LOST);
            for (int i = 0; i < 3; i++) {
                assertEquals(service.call(PlatformFixture.booking(5_000)).join().status(), 200);
            }
            assertEquals(server.requests().size(), 7);
        }
    }

    /** Holds the first calls until all are received, each on its own connection; the pool may open spare ones. */
    private static String answerAfter(CountDownLatch allReceived) {
        try {
            allReceived.await(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return RawServer.answer(200, "", "{}");
    }
}
