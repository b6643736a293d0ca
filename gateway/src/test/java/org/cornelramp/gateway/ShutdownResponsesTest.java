package org.cornelramp.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import org.cornelramp.platform.standin.StandInServer.Behaviour;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Requests on open connections to a gateway that stops, within a grace time of six seconds. */
public class ShutdownResponsesTest {
    private static final long GRACE_MILLIS = 6_000;
    private static final long GAP_MILLIS = 200;

    /** Time before the end of the gateway in which a request may cross the close of its connection. */
    private static final long LATE_MILLIS = 700;

    private GatewayFixture fixture;

    @BeforeMethod
    public void start() throws Exception {
        fixture = new GatewayFixture();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        fixture.close();
    }

    private void setPause(long millis) {
        Behaviour behaviour = Behaviour.ordinary().withPauseMillis(millis);
        fixture.firstApp.setBehaviour(behaviour);
        fixture.secondApp.setBehaviour(behaviour);
    }

    private CompletableFuture<Void> stopGateway() {
        fixture.gateway.beginStop();
        return CompletableFuture.runAsync(() -> {
            try {
                fixture.gateway.awaitStop();
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
    }

    private Socket connect() throws IOException {
        return new Socket(
                fixture.settings.requests().host(), fixture.settings.requests().port());
    }

    private byte[] booking(String id) {
        return fixture.client().rawRequest("/book/a", id).getBytes(StandardCharsets.US_ASCII);
    }

    /** Reads until the gateway closes the connection; returns the status of its response, or 0 if there is none. */
    private static int status(Socket connection) throws IOException {
        String response = new String(connection.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        return response.startsWith("HTTP/1.1 ") ? Integer.parseInt(response.substring(9, 12)) : 0;
    }

    /**
     * Sends a booking on an open connection; returns the status of the response, or 0 if there is none.
     *
     * @param bodyPauseMillis pause before the last byte of the body, in milliseconds
     */
    private int book(Socket connection, String id, long bodyPauseMillis) {
        byte[] request = booking(id);
        try (connection) {
            connection.getOutputStream().write(request, 0, request.length - 1);
            Thread.sleep(bodyPauseMillis);
            connection.getOutputStream().write(request, request.length - 1, 1);
            return status(connection);
        } catch (IOException e) {
            return 0;
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Sends bookings on connections that are open already, until the gateway has stopped. Each that has run must have
     * been answered, and each other one that was sent early enough must have been refused.
     *
     * @param bodyPauseMillis pause before the last byte of each body, in milliseconds
     */
    private void bookUntilStopped(CompletableFuture<Void> stopped, long bodyPauseMillis) throws Exception {
        List<Socket> connections = new ArrayList<>();
        for (int i = 0; i < GRACE_MILLIS / GAP_MILLIS; i++) {
            connections.add(connect());
        }
        CompletableFuture<Long> endMillis = stopped.thenApply(end -> System.currentTimeMillis());
        Map<String, CompletableFuture<Integer>> sent = new LinkedHashMap<>();
        Map<String, Long> sentMillis = new HashMap<>();
        for (Socket connection : connections) {
            String id = "booking-" + sent.size();
            CompletableFuture<Integer> status = new CompletableFuture<>();
            new Thread(() -> status.complete(book(connection, id, bodyPauseMillis))).start();
            sent.put(id, status);
            sentMillis.put(id, System.currentTimeMillis());
            Thread.sleep(GAP_MILLIS);
        }
        long lastMillis = endMillis.get() - LATE_MILLIS - bodyPauseMillis;
        Set<Integer> statuses = new TreeSet<>();
        for (var each : sent.entrySet()) {
            int status = each.getValue().get();
            assertAnswered(each.getKey(), status, sentMillis.get(each.getKey()) < lastMillis);
            statuses.add(status);
        }
        assertTrue(statuses.containsAll(Set.of(200, 503)), statuses.toString());
    }

    private void assertAnswered(String id, int status, boolean early) {
        long runs = fixture.received(id);
        assertTrue(runs <= 1, id + " ran more than once");
        if (runs == 1) {
            assertTrue(status == 200 || status == 502, id + " ran, and its status is " + status);
        } else if (early) {
            assertEquals(status, 503, id + " did not run");
        }
    }

    /** Guards against bookings that a stopping gateway accepts and passes on, and whose connections it then closes. */
    @Test
    public void bookingsThatRanAreAnsweredBeforeTheGatewayEnds() throws Exception {
        setPause(1_500);
        bookUntilStopped(stopGateway(), 0);
    }

    /** Guards against bookings whose head is read in time and whose body is whole when it is too late. */
    @Test
    public void bookingsWithSlowBodiesAreAnsweredBeforeTheGatewayEnds() throws Exception {
        setPause(700);
        bookUntilStopped(stopGateway(), 900);
    }

    /** Guards against a wrong promise where servers become slow while the gateway stops. */
    @Test
    public void bookingsAtServersThatBecomeSlowAreAnsweredBeforeTheGatewayEnds() throws Exception {
        setPause(5);
        for (int i = 0; i < 10; i++) {
            assertEquals(
                    fixture.client().send("/book/a", "earlier-" + i, "earlier").statusCode(), 200);
        }
        CompletableFuture<Void> stopped = stopGateway();
        setPause(1_800);
        bookUntilStopped(stopped, 0);
    }

    /** Guards against connections that are closed without a response while the body of a request is being read. */
    @Test
    public void requestThatIsStillBeingReadAtTheEndIsRefused() throws Exception {
        CompletableFuture<Void> stopped = stopGateway();
        byte[] request = booking("unread");
        try (Socket connection = connect()) {
            connection.getOutputStream().write(request, 0, request.length - 1);
            assertEquals(status(connection), 503);
        }
        stopped.get();
    }
}
