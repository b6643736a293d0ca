package org.cornelramp.ports.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.cornelramp.ports.PlatformException;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;

/**
 * Sends single HTTP calls to one base URL and reports what is known about the effect of a failed one. Safe for use by
 * any thread.
 *
 * <p>Invariant: a call is sent at most once, and a failure is {@link PlatformException.Kind#NOT_SENT} only if no byte
 * of the call was handed to a connection.
 */
final class HttpCalls {
    private static final int MAX_ANSWER_BYTES = 16 << 20;
    private static final int MAX_DETAIL_CHARS = 200;
    private static final long MILLIS_PER_SECOND = 1_000;

    private final HttpClient http;
    private final ObjectMapper mapper;
    private final HttpTimeouts timeouts;
    private final String base;

    HttpCalls(HttpClient http, ObjectMapper mapper, HttpTimeouts timeouts, String base) {
        this.http = http;
        this.mapper = mapper;
        this.timeouts = timeouts;
        this.base = base.endsWith("/") ? base.substring(0, base.length() - 1) : base;
    }

    ObjectMapper mapper() {
        return mapper;
    }

    long answerMillis() {
        return timeouts.answerMillis();
    }

    /** A request to a path below the base URL. */
    Request request(HttpMethod method, String path) {
        return http.newRequest(base + path).method(method);
    }

    /** Adds a JSON body. */
    Request withJsonBody(Request request, Object body) {
        try {
            return request.body(new BytesRequestContent("application/json", mapper.writeValueAsBytes(body)));
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("The request cannot be serialised as JSON: " + e.getMessage(), e);
        }
    }

    /** Sends a request and reads a successful answer as JSON. */
    <T> CompletableFuture<T> sendJson(Request request, long timeoutMillis, Class<T> type) {
        return send(request, timeoutMillis).thenApply(answer -> decode(requireSuccess(answer), type));
    }

    /** Sends a request and ignores the body of a successful answer. */
    CompletableFuture<Void> sendEmpty(Request request, long timeoutMillis) {
        return send(request, timeoutMillis).thenAccept(HttpCalls::requireSuccess);
    }

    /** Sends a request once; any complete answer is a success here, whatever its status. */
    CompletableFuture<HttpAnswer> send(Request request, long timeoutMillis) {
        CompletableFuture<HttpAnswer> future = new CompletableFuture<>();
        AtomicBoolean startedSending = new AtomicBoolean();
        request.timeout(timeoutMillis, TimeUnit.MILLISECONDS);
        request.idleTimeout(timeoutMillis + MILLIS_PER_SECOND, TimeUnit.MILLISECONDS);
        request.onRequestBegin(sent -> startedSending.set(true));
        request.send(new BufferingResponseListener(MAX_ANSWER_BYTES) {
            private volatile boolean endStated;

            @Override
            public boolean onHeader(Response response, HttpField field) {
                endStated |= statesEnd(field); // read here, since the decoder of a body removes such headers
                return super.onHeader(response, field);
            }

            @Override
            public void onComplete(Result result) {
                if (result.isSucceeded()) {
                    Response response = result.getResponse();
                    future.complete(new HttpAnswer(
                            response.getStatus(), response, getContent(), endStated || hasNoBody(response)));
                } else {
                    future.completeExceptionally(failure(result, startedSending.get()));
                }
            }
        });
        return future;
    }

    private static boolean statesEnd(HttpField field) {
        return field.getHeader() == HttpHeader.CONTENT_LENGTH
                || (field.getHeader() == HttpHeader.TRANSFER_ENCODING && field.contains("chunked"));
    }

    private static boolean hasNoBody(Response response) {
        return response.getStatus() == HttpStatus.NO_CONTENT_204
                || response.getStatus() == HttpStatus.NOT_MODIFIED_304
                || HttpMethod.HEAD.is(response.getRequest().getMethod());
    }

    private PlatformException failure(Result result, boolean startedSending) {
        Throwable cause = result.getFailure();
        if (startedSending && cause instanceof TimeoutException) {
            evictOpenConnections(result.getRequest());
        }
        String target = result.getRequest().getURI().toString();
        if (!startedSending) {
            return new PlatformException(
                    PlatformException.Kind.NOT_SENT, "Not sent, check that " + target + " is up: " + cause, 0);
        }
        return new PlatformException(
                PlatformException.Kind.ANSWER_LOST,
                "Sent without an answer, read back whether it took effect at " + target + ": " + cause,
                0);
    }

    private void evictOpenConnections(Request request) {
        if (http.resolveDestination(request).getConnectionPool() instanceof EvictingConnectionPool pool) {
            pool.evictOpenConnections();
        }
    }

    private <T> T decode(HttpAnswer answer, Class<T> type) {
        try {
            T value = mapper.readValue(answer.body(), type);
            if (value == null) {
                throw new PlatformException(PlatformException.Kind.MALFORMED, "The answer is null at " + base, 0);
            }
            return value;
        } catch (IOException e) {
            throw new PlatformException(
                    PlatformException.Kind.MALFORMED,
                    "The answer does not have the agreed format, check the version of " + base + ": " + e.getMessage(),
                    0);
        }
    }

    private static HttpAnswer requireSuccess(HttpAnswer answer) {
        if (HttpStatus.isSuccess(answer.status())) {
            return answer;
        }
        throw new PlatformException(failureKind(answer.status()), detail(answer), answer.retryAfterMillis());
    }

    /** A server or gateway error such as 500, 502 or 504 does not guarantee that the call had no effect. */
    private static PlatformException.Kind failureKind(int status) {
        return switch (status) {
            case HttpStatus.GONE_410, HttpStatus.NOT_FOUND_404 -> PlatformException.Kind.GONE;
            case HttpStatus.SERVICE_UNAVAILABLE_503 -> PlatformException.Kind.REFUSED;
            default ->
                HttpStatus.isClientError(status) ? PlatformException.Kind.REFUSED : PlatformException.Kind.ANSWER_LOST;
        };
    }

    private static String detail(HttpAnswer answer) {
        String text = new String(answer.body(), StandardCharsets.UTF_8);
        String part = text.length() > MAX_DETAIL_CHARS ? text.substring(0, MAX_DETAIL_CHARS) : text;
        return "Answered with status " + answer.status() + ": " + part;
    }

    /**
     * One complete answer.
     *
     * @param framed whether the end of its body can be told from a connection that ends early
     */
    record HttpAnswer(int status, Response response, byte[] body, boolean framed) {
        HttpAnswer {
            body = body == null ? new byte[0] : body;
        }

        String contentType() {
            String type = response.getHeaders().get(HttpHeader.CONTENT_TYPE);
            return type == null ? "" : type;
        }

        long retryAfterMillis() {
            String seconds = response.getHeaders().get(HttpHeader.RETRY_AFTER);
            if (seconds == null || !seconds.matches("[0-9]{1,6}")) {
                return 0;
            }
            return Long.parseLong(seconds) * MILLIS_PER_SECOND;
        }
    }
}
