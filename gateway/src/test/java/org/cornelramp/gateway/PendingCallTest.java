package org.cornelramp.gateway;

import static org.testng.Assert.assertEquals;

import java.util.concurrent.CountDownLatch;
import java.util.function.LongSupplier;
import org.cornelramp.platform.PendingCall;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.Request;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Calls of a process that is paused between two steps of sending a request. */
public class PendingCallTest {
    private static final long TIMEOUT_MILLIS = 60;

    private final HttpClients clients = new HttpClients();
    private FixedResponseServer server;

    @BeforeMethod
    public void start() throws Exception {
        server = new FixedResponseServer(true);
        clients.start();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        clients.stop();
        server.close();
    }

    private Request request() {
        return clients.pooled().newRequest("127.0.0.1", server.port());
    }

    private static ForcedClock clockThatJumpsAfter(CountDownLatch event) {
        return new ForcedClock(() -> event.getCount() == 0, TIMEOUT_MILLIS + 1);
    }

    /**
     * Guards against calls that are given up by the time of their start although their request was handed to a
     * connection a moment ago.
     */
    @Test
    public void requestThatIsHandedOverDuringTheCheckGetsTheFullTimeout() throws Exception {
        CountDownLatch handingOver = new CountDownLatch(1);
        ForcedClock clock = clockThatJumpsAfter(handingOver);
        Thread caller = Thread.currentThread();
        LongSupplier pausing = () -> {
            if (Thread.currentThread() != caller) {
                handingOver.countDown();
                clock.awaitCheck();
            }
            return clock.getAsLong();
        };
        try {
            ContentResponse response = new PendingCall(clients.pooled(), request(), pausing).await(TIMEOUT_MILLIS);
            assertEquals(response.getStatus(), 200);
        } finally {
            clock.end();
        }
    }

    /** Guards against servers that count as silent although the request to them has not been written yet. */
    @Test
    public void timeoutCountsFromTheWriteOfTheRequest() throws Exception {
        CountDownLatch handedOver = new CountDownLatch(1);
        ForcedClock clock = clockThatJumpsAfter(handedOver);
        Request request = request();
        PendingCall call = new PendingCall(clients.pooled(), request, clock);
        request.onRequestBegin(any -> {
            handedOver.countDown();
            clock.awaitCheck();
        });
        try {
            assertEquals(call.await(TIMEOUT_MILLIS).getStatus(), 200);
        } finally {
            clock.end();
        }
    }
}
