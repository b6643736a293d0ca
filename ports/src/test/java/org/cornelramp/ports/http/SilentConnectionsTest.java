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
 * Something between agent and service forgets all open connections; new ones work. Three connections are pooled. The
 * next call times out on one of them, and every call after it must go out on a new connection: otherwise each
 * pooled one would cost another caller the whole timeout.
 */
public class SilentConnectionsTest {

    @Test
    public void oneTimeoutDropsAllConnectionsThatWereOpen() throws Exception {
        CountDownLatch allHere = new CountDownLatch(3);
        try (RawServer server = new RawServer((connection, request) -> answer(allHere, connection, request));
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

    private static String answer(CountDownLatch allHere, int connection, int request) {
        if (connection < 3 && request > 0) {
            return null;
        }
        if (connection < 3) {
            allHere.countDown();
            try {
                allHere.await(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        return RawServer.answer(200, "", "{}");
    }
}
