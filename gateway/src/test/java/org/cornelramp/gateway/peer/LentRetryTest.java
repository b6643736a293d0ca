package org.cornelramp.gateway.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.core.retry.RetryLoanUpdate;
import org.cornelramp.core.settings.HostPort;
import org.cornelramp.gateway.GatewayFixture;
import org.cornelramp.platform.standin.StandInConfig;
import org.cornelramp.platform.standin.StandInServer.Behaviour;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** A gateway without retries of its own, and a peer that may lend some. */
public class LentRetryTest {
    private static final String PEER = "g2";

    private GatewayFixture fixture;
    private DatagramSocket socket;
    private Thread peer;
    private final AtomicInteger updatesReceived = new AtomicInteger();
    private volatile boolean peerLends;
    private volatile boolean running = true;
    private volatile Optional<RetryLoanUpdate.LoanRequest> lastLoanRequest = Optional.empty();

    @BeforeMethod
    public void start() throws Exception {
        fixture = new GatewayFixture(GatewayFixture.NO_RETRIES);
        socket = new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        socket.setSoTimeout(20);
        running = true;
        updatesReceived.set(0);
        lastLoanRequest = Optional.empty();
        peer = new Thread(this::runPeer, PEER);
        peer.start();
        GatewayFixture.await(() -> updatesReceived.get() > 1, "the gateway knows the peer and sends it updates");
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        running = false;
        peer.join();
        socket.close();
        fixture.close();
    }

    /** Sends an update every 20 ms, and lends a retry for each request if {@link #peerLends} is set. */
    private void runPeer() {
        byte[] buffer = new byte[8_192];
        for (long number = 1; running; number++) {
            try {
                sendUpdate(number);
                DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
                socket.receive(packet);
                updatesReceived.incrementAndGet();
                PeerUpdateCodec.read(buffer, packet.getLength()).forEach(update -> update.retryLoans()
                        .loanRequests()
                        .values()
                        .forEach(ask -> lastLoanRequest = Optional.of(ask)));
            } catch (SocketTimeoutException e) {
                // the gateway sends only in its own rounds
            } catch (Exception e) {
                throw new IllegalStateException("The peer's socket failed", e);
            }
        }
    }

    private void sendUpdate(long number) throws Exception {
        Map<ServiceName, List<RetryLoanUpdate.Loan>> loans = lastLoanRequest
                .filter(any -> peerLends)
                .map(ask -> Map.of(
                        new ServiceName(StandInConfig.ENGINES), List.of(new RetryLoanUpdate.Loan("g1", ask.id(), 1))))
                .orElse(Map.of());
        PeerUpdate update = PeerUpdate.of(
                new PeerUpdate.Sender(PEER, 1, fixture.settings.dataCentre()),
                number,
                false,
                Map.of(),
                0,
                Map.of(),
                Set.of(),
                new RetryLoanUpdate(Map.of(), loans));
        byte[] bytes = PeerUpdateCodec.write(update);
        HostPort to = fixture.settings.peers();
        socket.send(new DatagramPacket(bytes, bytes.length, InetAddress.getLoopbackAddress(), to.port()));
    }

    private HttpResponse<String> sendWithBrokenFirstAttempt(String id) throws Exception {
        fixture.engines.forEach(
                engine -> engine.setBehaviour(Behaviour.ordinary().withBreakAfter(0)));
        var answer = fixture.client().sendAsync("/chat/a", id, id);
        GatewayFixture.await(() -> fixture.received(id) == 1, "the first attempt");
        fixture.engines.forEach(engine -> engine.setBehaviour(Behaviour.ordinary()));
        return answer.get();
    }

    /**
     * Guards against a 502 within milliseconds for a request that could still be served: a failing engine resets the
     * stream before its first event, and the gateway has no retries left while its peers hardly use theirs. The gateway
     * must borrow one while the client still waits, which it does for seconds.
     */
    @Test
    public void streamThatHasNotBegunWaitsForALentRetry() throws Exception {
        peerLends = true;
        HttpResponse<String> answer = sendWithBrokenFirstAttempt("lent");
        assertEquals(answer.statusCode(), 200, fixture.log());
        assertTrue(answer.body().endsWith("id: 4\ndata: piece 4\n\n"), answer.body());
        assertEquals(fixture.received("lent"), 2, "one retry");
    }

    /**
     * The same, but no peer lends a retry. The client gets a 502 (outcome unknown) after a short wait, early enough to
     * retry by itself, and the stream is not sent a second time.
     */
    @Test
    public void streamFailsWhenNoPeerLendsARetry() throws Exception {
        peerLends = false;
        HttpResponse<String> answer = sendWithBrokenFirstAttempt("alone");
        assertEquals(answer.statusCode(), 502, fixture.log());
        assertTrue(lastLoanRequest.isPresent(), "it asked its peer for a retry");
        assertEquals(fixture.received("alone"), 1, "no retry");
    }

    /**
     * A server responds to a safe request with a signed 500, and no retry is left. The client must get that response at
     * once. If the gateway waited for a retry that no peer lends, the client would get a 502 half a second later
     * instead.
     */
    @Test
    public void serverErrorIsForwardedWhenNoRetryIsLeft() throws Exception {
        peerLends = false;
        fixture.firstApp.setBehaviour(Behaviour.ordinary().withStatus(500));
        fixture.secondApp.setBehaviour(Behaviour.ordinary().withStatus(500));
        HttpResponse<String> answer = fixture.client().send("/look/a", "failed", "failed");
        assertEquals(answer.statusCode(), 500, fixture.log());
        assertTrue(answer.body().startsWith("answer of a"), answer.body());
        assertEquals(fixture.received("failed"), 1, "no retry");
    }
}
