package org.cornelramp.ports.http;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.cornelramp.ports.WeightStoreClient;
import org.eclipse.jetty.http.HttpMethod;

/** Client of the weight store over HTTP. Safe for use by any thread. */
final class HttpWeightStoreClient implements WeightStoreClient {
    private final HttpCalls calls;

    HttpWeightStoreClient(HttpCalls calls) {
        this.calls = calls;
    }

    @Override
    public CompletableFuture<Long> load(String model, String version) {
        return calls.sendJson(
                        calls.withJsonBody(
                                calls.request(HttpMethod.POST, "/v1/loads"),
                                Map.of("model", model, "version", version)),
                        calls.answerMillis(),
                        Load.class)
                .thenApply(Load::readyAt);
    }

    private record Load(long readyAt) {}
}
