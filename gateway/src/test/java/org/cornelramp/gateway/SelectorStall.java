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

    /** Stalls the selector until some time has passed since an event; returns as soon as it is stalled. */
    static void stallFrom(HttpClient client, CountDownLatch event, long millis) throws InterruptedException {
        stall(client, () -> {
            await(event);
            sleep(millis);
        });
    }

    private static void await(CountDownLatch event) {
        try {
            event.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
