package org.cornelramp.ports.http;

import java.util.concurrent.CompletableFuture;
import org.cornelramp.ports.BackendOffer;
import org.cornelramp.ports.PlatformException;
import org.cornelramp.ports.ServiceCall;
import org.cornelramp.ports.ServiceClient;
import org.cornelramp.ports.ServiceReply;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpMethod;

/**
 * Client of a plain service over HTTP. Safe for use by any thread.
 *
 * <p>Every complete answer is a reply, whatever its status, since only the service defines what a status means for the
 * effect of the call. An answer whose end only the end of the connection marks is lost: a crash of the service would end
 * it in the same way.
 */
final class HttpServiceClient implements ServiceClient {
    private static final String KEY_HEADER = "Idempotency-Key";
    private static final String REQUEST_ID_HEADER = "Cornelramp-Request-Id";

    private final HttpCalls calls;

    HttpServiceClient(HttpCalls calls) {
        this.calls = calls;
    }

    @Override
    public CompletableFuture<BackendOffer> offer() {
        return calls.sendJson(calls.request(HttpMethod.GET, "/v1/offer"), calls.answerMillis(), BackendOffer.class);
    }

    @Override
    public CompletableFuture<ServiceReply> call(ServiceCall call) {
        Request request;
        try {
            request = requestOf(call);
        } catch (IllegalArgumentException e) {
            return CompletableFuture.failedFuture(new PlatformException(
                    PlatformException.Kind.NOT_SENT, "The path cannot be sent, correct it: " + e.getMessage(), 0));
        }
        return calls.send(request, call.timeoutMillis()).thenApply(HttpServiceClient::toReply);
    }

    private static ServiceReply toReply(HttpCalls.HttpAnswer answer) {
        if (!answer.framed()) {
            throw new PlatformException(
                    PlatformException.Kind.ANSWER_LOST,
                    "The answer may be cut, as only the end of its connection marks its end; the service must send a"
                            + " Content-Length or chunks",
                    0);
        }
        return new ServiceReply(answer.status(), answer.contentType(), answer.body());
    }

    private Request requestOf(ServiceCall call) {
        String path = call.path().startsWith("/") ? call.path() : "/" + call.path();
        Request request = calls.request(HttpMethod.POST, path)
                .method(call.method())
                .headers(headers -> {
                    headers.put(REQUEST_ID_HEADER, call.requestId());
                    call.key().ifPresent(key -> headers.put(KEY_HEADER, key));
                });
        if (call.body().length > 0) {
            request.body(new BytesRequestContent(
                    call.contentType().isEmpty() ? "application/octet-stream" : call.contentType(), call.body()));
        }
        return request;
    }
}
