package org.cornelramp.gateway.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.settings.HostPort;
import org.cornelramp.gateway.Fakes;
import org.cornelramp.gateway.TestEngines;
import org.cornelramp.platform.ForwardedHead;
import org.cornelramp.platform.standin.HeaderFixtures;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.Trailers;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.Callback;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * What an attempt forwards when its stream is malformed, or when it ends between the read of events and their write.
 */
public class AttemptTest {
    private static final String ID = "r1";

    private final HttpFields.Mutable answered = HttpFields.build();
    private final List<String> written = new ArrayList<>();
    private final List<AttemptEnd> ends = new ArrayList<>();

    @BeforeMethod
    public void reset() {
        written.clear();
        ends.clear();
    }

    private Exchange exchange() {
        return exchange(clientResponse());
    }

    private Exchange exchange(org.eclipse.jetty.server.Response client) {
        return new Exchange(RequestFixtures.stream(ID, 0), client, Callback.NOOP, () -> false, null);
    }

    /** Records what is written to the client; supports no other calls than those of an attempt. */
    private org.eclipse.jetty.server.Response clientResponse() {
        return Fakes.of(org.eclipse.jetty.server.Response.class, (name, args) -> {
            if (name.equals("write")) {
                written.add(StandardCharsets.UTF_8.decode((ByteBuffer) args[1]).toString());
                ((Callback) args[2]).succeeded();
            }
            return name.equals("getHeaders") ? answered : null;
        });
    }

    private static Response engineResponse() {
        return engineResponse(HeaderFixtures.chunked(HeaderFixtures.answer(ID)));
    }

    private static Response engineResponse(HttpFields head) {
        return Fakes.of(Response.class, (name, args) -> switch (name) {
            case "getStatus" -> 200;
            case "getHeaders" -> head;
            default -> null;
        });
    }

    private static BackendServer engine() {
        return TestEngines.empty("e1", new HostPort("127.0.0.1", 1));
    }

    /** A chunk that runs an action when the reader releases it. */
    private static Content.Chunk chunk(String text, Runnable onRelease) {
        ByteBuffer bytes = ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
        return Content.Chunk.from(bytes, false, ignored -> onRelease.run());
    }

    /** Guards against streams that stall for good because an engine sends bytes that never complete an event. */
    @Test
    public void oversizedEventEndsTheAttemptButNotTheExchange() {
        Exchange exchange = exchange();
        Attempt attempt = attempt(exchange);
        Response response = engineResponse();
        attempt.onContent(
                response, source(chunk("id: 0\ndata: x\n\n", () -> {}), chunk("x".repeat(2 << 20), () -> {})));
        assertTrue(attempt.isCancelled());
        attempt.onComplete(new Result(null, null, response, new IllegalStateException("cancelled")));
        assertEquals(ends.size(), 1);
        assertNotEquals(ends.get(0).kind(), AttemptEnd.Kind.CLIENT_GONE);
        assertEquals(written, List.of("id: 0\ndata: x\n\n"));
        assertEquals(exchange.lastEventId(), Optional.of(0L), "another attempt resumes after it");
        assertFalse(exchange.isEnded());
    }

    /**
     * Guards against events that are forwarded after the attempt has ended: the router cancels the attempt between the
     * read of an event and its write, and a retry resumes after the last event that the client has. The client would
     * get the event twice, or the write would overlap with the retry's on the same connection; both would fail, and the
     * gateway would take this for a disconnected client and close the connection.
     */
    @Test
    public void eventsReadBeforeTheEndOfTheAttemptAreNotWrittenAfterIt() {
        Exchange exchange = exchange();
        Attempt attempt = attempt(exchange);
        Response response = engineResponse();
        Result failed = new Result(null, null, response, new IllegalStateException("cancelled"));
        Content.Chunk event = chunk("id: 0\ndata: x\n\n", () -> attempt.onComplete(failed));
        attempt.onContent(response, source(event));
        assertEquals(ends.size(), 1, "the end is reported");
        assertEquals(written, List.of());
        assertEquals(exchange.lastEventId(), Optional.empty());
    }

    /** A client's response whose writes throw after they have begun. */
    private org.eclipse.jetty.server.Response throwingResponse() {
        return Fakes.of(org.eclipse.jetty.server.Response.class, (name, args) -> {
            if (name.equals("write")) {
                written.add(StandardCharsets.UTF_8.decode((ByteBuffer) args[1]).toString());
                throw new IllegalStateException("no write now");
            }
            return name.equals("getHeaders") ? answered : null;
        });
    }

    /**
     * Guards against a stream that nothing acts on again: a write that throws left the attempt marked as writing, so
     * that its end was deferred for good. The write may have gone out in part, so no further one may follow.
     */
    @Test
    public void writeThatThrowsEndsTheAttemptAndIsNotFollowedByAnother() {
        Attempt attempt = attempt(exchange(throwingResponse()));
        Response response = engineResponse();
        Content.Source source = source(chunk("id: 0\ndata: x\n\n", () -> {}), chunk("id: 1\ndata: y\n\n", () -> {}));
        attempt.onContent(response, source);
        attempt.onContent(response, source);
        assertTrue(attempt.isCancelled());
        attempt.onComplete(new Result(null, null, response, new IllegalStateException("cancelled")));
        assertEquals(ends.size(), 1);
        assertEquals(ends.get(0).kind(), AttemptEnd.Kind.CLIENT_GONE, "a resumed run could not be written");
        assertTrue(ends.get(0).detail().contains("no write now"), ends.get(0).detail());
        assertEquals(written, List.of("id: 0\ndata: x\n\n"));
    }

    /** Guards against logs that do not tell a failed write from a close that the probe detected. */
    @Test
    public void failedWriteIsNamedWithItsCause() {
        org.eclipse.jetty.server.Response client = Fakes.of(org.eclipse.jetty.server.Response.class, (name, args) -> {
            if (name.equals("write")) {
                ((Callback) args[2]).failed(new IOException("Broken pipe"));
            }
            return name.equals("getHeaders") ? answered : null;
        });
        Attempt attempt = attempt(exchange(client));
        Response response = engineResponse();
        attempt.onContent(response, source(chunk("id: 0\ndata: x\n\n", () -> {})));
        attempt.onComplete(new Result(null, null, response, new IllegalStateException("cancelled")));
        assertEquals(ends.get(0).kind(), AttemptEnd.Kind.CLIENT_GONE);
        assertEquals(ends.get(0).detail(), "write failed: java.io.IOException: Broken pipe");
    }

    /**
     * Guards against a stream that nothing acts on again because reading its response raises an exception on a thread
     * of the HTTP library, for instance within the callback of a write, where the library swallows it. Nothing was
     * written, so another attempt may resume the stream.
     */
    @Test
    public void exceptionDuringAReadEndsTheAttemptButNotTheExchange() {
        Exchange exchange = exchange();
        Attempt attempt = attempt(exchange);
        Response response = engineResponse();
        Content.Chunk faulty = chunk("id: 1\ndata: y\n\n", () -> {
            throw new IllegalStateException("no read now");
        });
        attempt.onContent(response, source(chunk("id: 0\ndata: x\n\n", () -> {}), faulty));
        assertTrue(attempt.isCancelled());
        attempt.onComplete(new Result(null, null, response, new IllegalStateException("cancelled")));
        assertEquals(ends.size(), 1);
        assertNotEquals(ends.get(0).kind(), AttemptEnd.Kind.CLIENT_GONE);
        assertEquals(exchange.lastEventId(), Optional.of(0L), "another attempt resumes after it");
        assertFalse(exchange.isEnded());
    }

    /**
     * Guards against a cancelled attempt that is read on: a server that sends at full speed then keeps a thread beyond the
     * deadline of the request, and other streams wait for one.
     */
    @Test
    public void cancelledAttemptIsNotReadOn() {
        Attempt attempt = attempt(exchange());
        List<String> read = new ArrayList<>();
        Content.Chunk first = chunk("data:", () -> attempt.cancel("deadline"));
        attempt.onContent(engineResponse(), source(first, () -> read.add("second"), chunk(" x\n\n", () -> {})));
        assertEquals(read, List.of());
    }

    /** Headers of an answer to the same request that differ in all else. */
    private static HttpFields resumedHead() {
        HttpFields.Mutable head = HttpFields.build();
        for (HttpField field : HeaderFixtures.answer(ID)) {
            head.add(field.getName(), field.getValue().equals(ID) ? ID : "another " + field.getValue());
        }
        head.put("Content-Type", "text/plain").put("Trailer", "X-After");
        return HeaderFixtures.chunked(head);
    }

    /** Guards against a started stream that is closed, or changed, by the headers of the response that resumes it. */
    @Test
    public void headersOfAResumedRunDoNotReplaceThoseOfTheFirst() {
        Exchange exchange = exchange();
        Attempt first = attempt(exchange);
        first.onContent(engineResponse(), source(chunk("id: 0\ndata: x\n\n", () -> {})));
        first.onComplete(new Result(null, null, engineResponse(), new IllegalStateException("reset")));
        HttpFields sent = answered.asImmutable();

        Attempt second = attempt(exchange);
        Response resumed = engineResponse(resumedHead());
        Content.Chunk trailers =
                new Trailers(HttpFields.build().add("X-After", "1").asImmutable());
        second.onContent(resumed, source(chunk("id: 1\ndata: y\n\n", () -> {}), trailers));
        second.onComplete(new Result(null, resumed));
        assertEquals(ends.get(1).kind(), AttemptEnd.Kind.RELAYED);
        assertEquals(written, List.of("id: 0\ndata: x\n\n", "id: 1\ndata: y\n\n"));
        assertEquals(answered.asImmutable(), sent);
    }

    /** Guards against events of another request's response in a started stream, and against the loss of that stream. */
    @Test
    public void responseToAnotherRequestNeitherContinuesNorEndsAStartedStream() {
        Exchange exchange = exchange();
        Attempt first = attempt(exchange);
        first.onContent(engineResponse(), source(chunk("id: 0\ndata: x\n\n", () -> {})));
        first.onComplete(new Result(null, null, engineResponse(), new IllegalStateException("reset")));

        Attempt second = attempt(exchange);
        Response foreign = engineResponse(HeaderFixtures.chunked(HeaderFixtures.answer("another")));
        second.onContent(foreign, source(chunk("id: 1\ndata: z\n\n", () -> {})));
        second.onComplete(new Result(null, foreign));
        assertEquals(ends.get(1).kind(), AttemptEnd.Kind.BROKEN, "it is retried");
        assertEquals(written, List.of("id: 0\ndata: x\n\n"));
        assertFalse(exchange.isEnded());
    }

    /** Guards against a living engine that counts as crashed because its response had arrived before its cancellation. */
    @Test
    public void wholeResponseWithARepeatedEventIsNoBrokenConnection() {
        Exchange exchange = exchange();
        Attempt attempt = attempt(exchange);
        Response response = engineResponse();
        attempt.onContent(
                response,
                source(
                        chunk("id: 4\ndata: x\n\n", () -> {}),
                        chunk("id: 4\ndata: x\n\n", () -> {}),
                        Content.Chunk.EOF));
        attempt.onComplete(new Result(null, response));
        assertEquals(ends.get(0).kind(), AttemptEnd.Kind.BROKEN);
        assertEquals(ends.get(0).detail(), "event 4 was sent after event 4");
        assertEquals(attempt.connectionFault(), Attempt.ConnectionFault.NONE);
        assertEquals(written, List.of("id: 4\ndata: x\n\n"));
        assertFalse(exchange.isEnded());
    }

    /** The last read of a stream: after its last event, or with it. */
    @DataProvider
    public Object[][] lastReads() {
        return new Object[][] {{Content.Chunk.EOF, ""}, {lastChunk("id: 1\ndata: y\n\n"), "id: 1\ndata: y\n\n"}};
    }

    /**
     * Guards against a whole stream that is sent again or broken off at its end: when a write ends on another thread, the
     * HTTP library reports success within the read that returns the last chunk.
     */
    @Test(dataProvider = "lastReads")
    public void successReportedDuringTheLastReadIsJudgedAfterIt(Content.Chunk last, String lastEvent) {
        Deque<Callback> writes = new ArrayDeque<>();
        Attempt attempt = attempt(exchange(slowResponse(writes)));
        Response response = engineResponse();
        Content.Chunk first = chunk("id: 0\ndata: x\n\n", () -> {});
        attempt.onContent(response, source(first, () -> attempt.onComplete(new Result(null, response)), last));
        while (!writes.isEmpty()) {
            assertEquals(ends.size(), 0, "a write is under way");
            writes.remove().succeeded();
        }
        assertEquals(ends.size(), 1);
        assertEquals(ends.get(0).kind(), AttemptEnd.Kind.RELAYED, ends.get(0).detail());
        assertEquals(attempt.connectionFault(), Attempt.ConnectionFault.NONE);
        assertEquals(String.join("", written), "id: 0\ndata: x\n\n" + lastEvent);
    }

    /** Records what is written to the client, whose writes end only when their callbacks are called. */
    private org.eclipse.jetty.server.Response slowResponse(Deque<Callback> writes) {
        return Fakes.of(org.eclipse.jetty.server.Response.class, (name, args) -> {
            if (name.equals("write")) {
                written.add(StandardCharsets.UTF_8.decode((ByteBuffer) args[1]).toString());
                writes.add((Callback) args[2]);
            }
            return name.equals("getHeaders") ? answered : null;
        });
    }

    private static Content.Chunk lastChunk(String text) {
        return Content.Chunk.from(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)), true);
    }

    private Attempt attempt(Exchange exchange) {
        ForwardedHead head = new ForwardedHead(
                engine().name(), 9_000, Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty());
        return new Attempt(null, exchange, engine(), head, () -> 1, (any, end) -> ends.add(end));
    }

    /** A source of exactly these chunks. */
    private static Content.Source source(Content.Chunk... given) {
        List<Content.Chunk> chunks = new ArrayList<>(List.of(given));
        return source(() -> chunks.isEmpty() ? null : chunks.remove(0));
    }

    /** A source of two chunks that runs an action within the read of the second. */
    private static Content.Source source(Content.Chunk first, Runnable beforeSecond, Content.Chunk second) {
        Deque<Content.Chunk> chunks = new ArrayDeque<>(List.of(first, second));
        return source(() -> {
            if (chunks.peek() == second) {
                beforeSecond.run();
            }
            return chunks.poll();
        });
    }

    private static Content.Source source(Supplier<Content.Chunk> reads) {
        return new Content.Source() {
            @Override
            public Content.Chunk read() {
                return reads.get();
            }

            @Override
            public void demand(Runnable callback) {
                // there are no more chunks
            }

            @Override
            public void fail(Throwable failure) {
                // the test reports the end itself
            }
        };
    }
}
