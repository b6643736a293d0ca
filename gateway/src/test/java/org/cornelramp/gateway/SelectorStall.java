package org.cornelramp.gateway;

import java.util.concurrent.CountDownLatch;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.io.ManagedSelector;

/** Stalls the selector of an HTTP client, as in a process that gets no processor time. Stateless. */
final class SelectorStall {
    private SelectorStall() {}

    /** Stalls the selector for some time; returns as soon as it is stalled. */
    static void stall(HttpClient client, long millis) throws InterruptedException {
        stall(client, () -> sleep(millis));
    }

    /** Stalls the selector while a task runs on its thread; returns as soon as it is stalled. */
    static void stall(HttpClient client, Runnable task) throws InterruptedException {
        CountDownLatch stalled = new CountDownLatch(1);
        HttpClientTransportOverHTTP transport = (HttpClientTransportOverHTTP) client.getTransport();
        ManagedSelector selector = transport
                .getClientConnector()
                .getSelectorManager()
                .getBeans(ManagedSelector.class)
                .iterator()
                .next();
        selector.submit(any -> {
            stalled.countDown();
            task.run();
        });
        stalled.await();
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
