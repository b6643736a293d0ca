package org.cornelramp.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.ConnectException;
import java.net.SocketTimeoutException;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Connects of a process whose selector stands still. */
public class LateConnectTest {
    /** Longer than a connect's timeout. */
    private static final long STILL_MILLIS = 1_200;

    private final HttpClients clients = new HttpClients();
    private SmallServer server;

    @BeforeMethod
    public void start() throws Exception {
        server = new SmallServer(true);
        clients.start();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        clients.stop();
        server.close();
    }

    /** Guards against streams that fail on "Connect Timeout" although the engine had taken the connection long before. */
    @Test
    public void aConnectionThatIsNoticedLateIsUsed() throws Exception {
        HeldUpSelector.holdUp(clients.pooled(), STILL_MILLIS);
        CompletableFuture<ContentResponse> answer =
                new CompletableResponseListener(clients.pooled().newRequest("127.0.0.1", server.port())).send();
        assertEquals(answer.get().getStatus(), 200);
        assertEquals(server.requests(), 1);
        assertEquals(clients.lateConnects(), 1);
        assertEquals(clients.connectsUnderWay(), 0);
    }

    /** Guards against memory that grows with each failed connect, and servers that count as silent for old ones. */
    @Test
    public void aConnectThatIsRefusedIsOver() throws Exception {
        int port = server.port();
        server.close();
        Throwable failure = new CompletableResponseListener(clients.pooled().newRequest("127.0.0.1", port))
                .send()
                .handle((answer, fault) -> fault)
                .get();
        assertTrue(failure instanceof ConnectException, String.valueOf(failure));
        assertEquals(clients.connectsUnderWay(), 0);
    }

    /** The same for a connect that runs into its timeout. */
    @Test
    public void aConnectThatIsNotTakenIsOver() throws Exception {
        try (FullServer full = new FullServer()) {
            Throwable failure = new CompletableResponseListener(clients.pooled().newRequest("127.0.0.1", full.port()))
                    .send()
                    .handle((answer, fault) -> fault)
                    .get();
            assertTrue(failure instanceof SocketTimeoutException, String.valueOf(failure));
            assertEquals(clients.connectsUnderWay(), 0);
            assertEquals(clients.lateConnects(), 0);
        }
    }
}
