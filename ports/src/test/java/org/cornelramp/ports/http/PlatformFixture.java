package org.cornelramp.ports.http;

import static org.testng.Assert.fail;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.cornelramp.ports.PlatformException;
import org.cornelramp.ports.ServiceCall;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;

/** A started {@link HttpPlatform} for one test. */
final class PlatformFixture implements AutoCloseable {
    private final HttpPlatform platform;

    PlatformFixture(HttpTimeouts timeouts) {
        this.platform = new HttpPlatform(new HttpClient(new HttpClientTransportOverHTTP(1)), timeouts);
        platform.start();
    }

    HttpPlatform platform() {
        return platform;
    }

    @Override
    public void close() {
        platform.stop();
    }

    static ServiceCall booking(long timeoutMillis) {
        return new ServiceCall(
                "POST",
                "/book",
                "application/json",
                "{}".getBytes(StandardCharsets.UTF_8),
                Optional.of("k1"),
                "r1",
                timeoutMillis);
    }

    static PlatformException failureOf(CompletableFuture<?> future) {
        try {
            future.join();
        } catch (CompletionException e) {
            return (PlatformException) e.getCause();
        }
        fail("The call should have failed");
        return null;
    }
}
