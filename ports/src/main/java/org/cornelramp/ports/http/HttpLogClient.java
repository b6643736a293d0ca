package org.cornelramp.ports.http;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.cornelramp.ports.LogClient;
import org.cornelramp.ports.LogPage;
import org.cornelramp.ports.LogRecord;
import org.cornelramp.ports.LogStream;
import org.eclipse.jetty.http.HttpMethod;

/** Client of the log service over HTTP. Safe for use by any thread. */
final class HttpLogClient implements LogClient {
    private final HttpCalls calls;

    HttpLogClient(HttpCalls calls) {
        this.calls = calls;
    }

    @Override
    public CompletableFuture<Long> append(LogStream stream, List<JsonNode> records) {
        return calls.sendJson(
                        calls.withJsonBody(
                                calls.request(HttpMethod.POST, path(stream) + "/records"), Map.of("records", records)),
                        calls.answerMillis(),
                        Appended.class)
                .thenApply(Appended::firstOffset);
    }

    @Override
    public CompletableFuture<LogPage> read(LogStream stream, long from, int max, long waitMillis) {
        return calls.sendJson(
                        calls.request(HttpMethod.GET, path(stream) + "/records")
                                .param("from", Long.toString(from))
                                .param("max", Integer.toString(max))
                                .param("waitMillis", Long.toString(waitMillis)),
                        calls.answerMillis() + waitMillis,
                        Page.class)
                .thenApply(Page::toLogPage);
    }

    @Override
    public CompletableFuture<LogPage> bounds(LogStream stream) {
        return calls.sendJson(calls.request(HttpMethod.GET, path(stream)), calls.answerMillis(), Page.class)
                .thenApply(Page::toLogPage);
    }

    private static String path(LogStream stream) {
        return "/v1/streams/" + stream.text();
    }

    private record Appended(long firstOffset) {}

    private record Page(long oldest, long next, List<LogRecord> records) {
        LogPage toLogPage() {
            return new LogPage(oldest, next, records == null ? List.of() : List.copyOf(records));
        }
    }
}
