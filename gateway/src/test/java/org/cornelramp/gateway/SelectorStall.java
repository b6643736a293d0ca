package org.cornelramp.gateway;

import java.util.concurrent.CountDownLatch;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.io.ManagedSelector;

/** Lets a client's selector stand still, as in a process that gets no processor time. Stateless. */
final class HeldUpSelector {
    private HeldUpSelector() {}

    /** Holds the selector up, and returns once it stands still. */
    static void holdUp(HttpClient client, long millis) throws InterruptedException {
        CountDownLatch still = new CountDownLatch(1);
        HttpClientTransportOverHTTP transport = (HttpClientTransportOverHTTP) client.getTransport();
        ManagedSelector selector = transport
                .getClientConnector()
                .getSelectorManager()
                .getBeans(ManagedSelector.class)
                .iterator()
                .next();
        selector.submit(any -> {
            still.countDown();
            sleep(millis);
        });
        still.await();
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
