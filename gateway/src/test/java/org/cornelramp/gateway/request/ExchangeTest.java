package org.cornelramp.gateway.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Predicate;
import org.cornelramp.gateway.Fakes;
import org.cornelramp.platform.standin.HeaderFixtures;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.io.ByteArrayEndPoint;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** When a client counts as gone, and how an exchange ends whose response cannot be written. */
public class ExchangeTest {
    private static final String ID = "r1";
    private static final long RECEIVED_MILLIS = 1_000;
    private static final long INTERVAL_MILLIS = ClientDisconnectProbe.INTERVAL_MILLIS;

    private static Exchange exchange(Response response, Callback callback, ClientDisconnectProbe probe) {
        return new Exchange(RequestFixtures.stream(ID, RECEIVED_MILLIS), response, callback, () -> false, probe);
    }

    /** A client's response with these headers; each write takes this action. */
    private static Response response(HttpFields.Mutable headers, Runnable onWrite) {
        return Fakes.of(Response.class, (name, args) -> {
            if (name.equals("write")) {
                onWrite.run();
            }
            return name.equals("getHeaders") ? headers : null;
        });
    }

    /** An end point of a client that has closed its sending half, and possibly the other one too. */
    private static ByteArrayEndPoint endOfInput() {
        ByteArrayEndPoint endPoint = new ByteArrayEndPoint();
        endPoint.addInputEOF();
        return endPoint;
    }

    private static void relay(Exchange exchange, long id, long nowMillis) {
        ByteBuffer event = ByteBuffer.wrap(new byte[] {1});
        exchange.relay(HeaderFixtures.answer(ID), event, EventIds.after(-1).plus(id), nowMillis, Callback.NOOP);
    }

    /**
     * Guards against a half-closed client that loses its stream while events flow, and against engines that work for a
     * client that has closed: the two look the same until a write fails, so the longer pause decides.
     */
    @Test
    public void endOfInputCountsAsACloseOnlyInAPauseLongerThanTheProbesInterval() {
        Exchange exchange =
                exchange(response(HttpFields.build(), () -> {}), Callback.NOOP, RequestFixtures.probe(endOfInput()));
        long now = RECEIVED_MILLIS;
        for (int id = 0; id < 5; id++) {
            assertFalse(exchange.hasClientDisconnected(now + INTERVAL_MILLIS), "events flow");
            now += INTERVAL_MILLIS;
            relay(exchange, id, now);
        }
        assertFalse(exchange.hasClientDisconnected(now + INTERVAL_MILLIS));
        assertEquals(exchange.clientCloseReason(), "");
        assertTrue(exchange.hasClientDisconnected(now + INTERVAL_MILLIS + 1));
        assertEquals(exchange.clientCloseReason(), "end of input");
    }

    /** Guards against a half-closed client that counts as gone before the pause in which a leaving one is noticed. */
    @Test
    public void endOfInputBeforeTheFirstEventCountsAsACloseAfterTheProbesInterval() {
        Exchange exchange =
                exchange(response(HttpFields.build(), () -> {}), Callback.NOOP, RequestFixtures.probe(endOfInput()));
        assertFalse(exchange.hasClientDisconnected(RECEIVED_MILLIS + INTERVAL_MILLIS));
        assertTrue(exchange.hasClientDisconnected(RECEIVED_MILLIS + INTERVAL_MILLIS + 1));
    }

    /** Guards against a silent client that counts as gone although it has closed nothing. */
    @Test
    public void openInputIsNoClose() {
        Exchange exchange = exchange(
                response(HttpFields.build(), () -> {}), Callback.NOOP, RequestFixtures.probe(new ByteArrayEndPoint()));
        assertFalse(exchange.hasClientDisconnected(RECEIVED_MILLIS + 10 * INTERVAL_MILLIS));
    }

    /** A callback that records its calls. */
    private static Callback recording(List<String> calls) {
        return Callback.from(() -> calls.add("succeeded"), failure -> calls.add("failed: " + failure.getMessage()));
    }

    private static Runnable throwing(String message) {
        return () -> {
            throw new IllegalStateException(message);
        };
    }

    @DataProvider
    public static Object[][] lastWrites() {
        Predicate<Exchange> refusal = exchange -> exchange.refuse(Refusal.TIMED_OUT, 0);
        Predicate<Exchange> complete = exchange -> exchange.complete(HeaderFixtures.answer(ID));
        Predicate<Exchange> answer = exchange -> exchange.forwardResponse(200, HeaderFixtures.answer(ID), new byte[1]);
        return new Object[][] {{refusal}, {complete}, {answer}};
    }

    /** Guards against a client that waits for good because the write that ends its response has thrown. */
    @Test(dataProvider = "lastWrites")
    public void lastWriteThatThrowsFailsTheResponse(Predicate<Exchange> lastWrite) {
        List<String> calls = new ArrayList<>();
        Response response = response(HttpFields.build(), throwing("no write now"));
        Exchange exchange = exchange(response, recording(calls), RequestFixtures.probe(new ByteArrayEndPoint()));
        assertFalse(lastWrite.test(exchange));
        assertEquals(calls, List.of("failed: no write now"));
        assertTrue(exchange.isEnded());
    }

    /** Guards against a client that waits for good because its response takes no more headers. */
    @Test(dataProvider = "lastWrites")
    public void headersThatCannotBeSetFailTheResponse(Predicate<Exchange> lastWrite) {
        List<String> calls = new ArrayList<>();
        Exchange exchange =
                exchange(response(null, () -> {}), recording(calls), RequestFixtures.probe(new ByteArrayEndPoint()));
        assertFalse(lastWrite.test(exchange));
        assertEquals(calls.size(), 1, calls.toString());
        assertTrue(calls.get(0).startsWith("failed: "), calls.toString());
    }

    /** Guards against a stream without an end because the write of its last chunk has thrown. */
    @Test
    public void lastChunkThatThrowsFailsTheStartedStream() {
        List<String> calls = new ArrayList<>();
        AtomicBoolean faulty = new AtomicBoolean();
        Response response = response(HttpFields.build(), () -> {
            if (faulty.get()) {
                throw new IllegalStateException("no write now");
            }
        });
        Exchange exchange = exchange(response, recording(calls), RequestFixtures.probe(new ByteArrayEndPoint()));
        relay(exchange, 0, RECEIVED_MILLIS + 1);
        faulty.set(true);
        assertFalse(exchange.complete(HeaderFixtures.answer(ID)));
        assertEquals(calls, List.of("failed: no write now"));
    }

    /**
     * Guards against a response that looks complete and holds a refusal behind the first event of a stream: the event
     * is on its way to the client when the router refuses the request.
     */
    @Test
    public void eventAfterARefusalIsNotSent() {
        List<String> written = new ArrayList<>();
        List<Throwable> failures = new ArrayList<>();
        Exchange exchange = exchange(
                response(HttpFields.build(), () -> written.add("write")),
                Callback.NOOP,
                RequestFixtures.probe(new ByteArrayEndPoint()));
        assertTrue(exchange.refuse(Refusal.TIMED_OUT, 0));
        exchange.relay(
                HeaderFixtures.answer(ID),
                ByteBuffer.wrap(new byte[1]),
                EventIds.after(-1).plus(0),
                RECEIVED_MILLIS,
                Callback.from(() -> {}, failures::add));
        assertEquals(written, List.of("write"), "the refusal only");
        assertEquals(failures.size(), 1);
        assertFalse(exchange.isCommitted());
    }

    /** Guards against the same in the other order: the refusal comes after the headers of the stream are decided. */
    @Test
    public void refusalAfterTheFirstEventIsNotSent() {
        List<String> written = new ArrayList<>();
        AtomicBoolean refused = new AtomicBoolean();
        Exchange[] made = new Exchange[1];
        HttpFields.Mutable headers = HttpFields.build();
        made[0] = exchange(
                response(headers, () -> {
                    written.add("write");
                    refused.set(made[0].refuse(Refusal.TIMED_OUT, 0)); // comes while the event is written
                }),
                Callback.NOOP,
                RequestFixtures.probe(new ByteArrayEndPoint()));
        relay(made[0], 0, RECEIVED_MILLIS);
        assertFalse(refused.get());
        assertEquals(written, List.of("write"), "the event only");
        assertTrue(made[0].isCommitted());
        assertTrue(made[0].abort("deadline"));
    }

    /** Guards against a close that cuts a stream: it is announced in the headers and follows the last event. */
    @Test
    public void closeIsAnnouncedAtTheStartAndFollowsTheEndOfAStream() {
        HttpFields.Mutable headers = HttpFields.build();
        AtomicBoolean ended = new AtomicBoolean();
        Callback callback = Callback.from(() -> ended.set(true));
        Response response = Fakes.of(Response.class, (name, args) -> {
            if (name.equals("write") && (boolean) args[0]) {
                ((Callback) args[2]).succeeded();
            }
            return name.equals("getHeaders") ? headers : null;
        });
        Exchange exchange = new Exchange(
                RequestFixtures.stream(ID, 0), response, callback, () -> true, RequestFixtures.probe(null));
        relay(exchange, 0, 10);
        relay(exchange, 1, 20);
        assertEquals(headers.get("Connection"), "close");
        assertEquals(headers.get("Transfer-Encoding"), "chunked");
        assertFalse(ended.get());
        assertTrue(exchange.complete(HeaderFixtures.answer(ID)));
        assertTrue(ended.get());
    }
}
