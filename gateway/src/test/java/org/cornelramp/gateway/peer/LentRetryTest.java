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
import org.cornelramp.core.retry.RepeatNews;
import org.cornelramp.core.settings.HostPort;
import org.cornelramp.gateway.GatewayFixture;
import org.cornelramp.platform.standin.StandInConfig;
import org.cornelramp.platform.standin.StandInServer.Behaviour;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** A gateway without a repeat of its own, beside a peer that has some. */
public class LentRepeatTest {
    private static final String PEER = "g2";

    private GatewayFixture fixture;
    private DatagramSocket socket;
    private Thread peer;
    private final AtomicInteger told = new AtomicInteger();
    private volatile boolean lends;
    private volatile boolean running = true;
    private volatile Optional<RepeatNews.Ask> asked = Optional.empty();

    @BeforeMethod
    public void start() throws Exception {
        fixture = new GatewayFixture(GatewayFixture.NO_REPEATS);
        socket = new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        socket.setSoTimeout(20);
        running = true;
        told.set(0);
        asked = Optional.empty();
        peer = new Thread(this::talk, PEER);
        peer.start();
        GatewayFixture.await(() -> told.get() > 1, "the gateway has heard the peer and tells it");
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        running = false;
        peer.join();
        socket.close();
        fixture.close();
    }

    /** Tells news every 20 ms, and lends on each ask if it is to. */
    private void talk() {
        byte[] buffer = new byte[8_192];
        for (long number = 1; running; number++) {
            try {
                tell(number);
                DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
                socket.receive(packet);
                told.incrementAndGet();
                PeerNewsCodec.read(buffer, packet.getLength())
                        .forEach(news -> news.repeats().asks().values().forEach(ask -> asked = Optional.of(ask)));
            } catch (SocketTimeoutException e) {
                // the gateway tells only in its own rounds
            } catch (Exception e) {
                throw new IllegalStateException("The peer's socket fails", e);
            }
        }
    }

    private void tell(long number) throws Exception {
        Map<ServiceName, List<RepeatNews.Loan>> loans = asked.filter(any -> lends)
                .map(ask ->
                        Map.of(new ServiceName(StandInConfig.ENGINES), List.of(new RepeatNews.Loan("g1", ask.id(), 1))))
                .orElse(Map.of());
        PeerNews news = PeerNews.of(
                new PeerNews.Sender(PEER, 1, fixture.settings.dataCentre()),
                number,
                false,
                Map.of(),
                0,
                Map.of(),
                Set.of(),
                new RepeatNews(Map.of(), loans));
        byte[] bytes = PeerNewsCodec.write(news);
        HostPort to = fixture.settings.peers();
        socket.send(new DatagramPacket(bytes, bytes.length, InetAddress.getLoopbackAddress(), to.port()));
    }

    private HttpResponse<String> sendOnceBroken(String id) throws Exception {
        fixture.engines.forEach(
                engine -> engine.setBehaviour(Behaviour.ordinary().withBreakAfter(0)));
        var answer = fixture.client().sendLater("/chat/a", id, id);
        GatewayFixture.await(() -> fixture.received(id) == 1, "the first run");
        fixture.engines.forEach(engine -> engine.setBehaviour(Behaviour.ordinary()));
        return answer.get();
    }

    /**
     * An engine resets a stream before its first event, as one that dies does with all that it has, and the gateway has
     * used up its repeats. Its peers hardly use theirs. It asks, one lends, and the client gets the whole stream. The
     * gateway used to answer 502 within milliseconds, with seconds of the client's time left.
     */
    @Test
    public void aStreamThatHasNotBegunWaitsForARepeatThatAPeerLends() throws Exception {
        lends = true;
        HttpResponse<String> answer = sendOnceBroken("lent");
        assertEquals(answer.statusCode(), 200, fixture.log());
        assertTrue(answer.body().endsWith("id: 4\ndata: piece 4\n\n"), answer.body());
        assertEquals(fixture.received("lent"), 2, "one repeat");
    }

    /**
     * The same, but nobody has a repeat to lend. The client is told after a moment that the outcome is unknown, while it
     * still has the time to come again itself, and the stream is sent no second time.
     */
    @Test
    public void aStreamWaitsForNoRepeatThatNobodyLends() throws Exception {
        lends = false;
        HttpResponse<String> answer = sendOnceBroken("alone");
        assertEquals(answer.statusCode(), 502, fixture.log());
        assertTrue(asked.isPresent(), "it asked its peer");
        assertEquals(fixture.received("alone"), 1, "no repeat");
    }

    /**
     * A server answers a safe request with a signed 500, and no repeat is left for another try. The client gets that answer
     * at once. Held for a repeat that nobody lends, it would be told 502 half a second later instead of what the server said.
     */
    @Test
    public void aFailedAnswerIsPassedOnWhereNoRepeatIsLeft() throws Exception {
        lends = false;
        fixture.firstApp.setBehaviour(Behaviour.ordinary().withStatus(500));
        fixture.secondApp.setBehaviour(Behaviour.ordinary().withStatus(500));
        HttpResponse<String> answer = fixture.client().send("/look/a", "failed", "failed");
        assertEquals(answer.statusCode(), 500, fixture.log());
        assertTrue(answer.body().startsWith("answer of a"), answer.body());
        assertEquals(fixture.received("failed"), 1, "no repeat");
    }
}
