package org.cornelramp.ports.http;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.cornelramp.ports.BackendOffer;
import org.cornelramp.ports.CacheEvents;
import org.cornelramp.ports.EngineClient;
import org.cornelramp.ports.EngineKv;
import org.cornelramp.ports.EngineLoad;
import org.cornelramp.ports.EngineOrder;
import org.cornelramp.ports.EngineStep;
import org.cornelramp.ports.EngineStepResults;
import org.eclipse.jetty.http.HttpMethod;

/** Client of a model engine over HTTP. Safe for use by any thread. */
final class HttpEngineClient implements EngineClient {
    /**
     * Timeout of a batch of steps, which queues in the engine; the agent detects an engine that is down before it
     * expires.
     */
    private static final long STEPS_TIMEOUT_MILLIS = 30_000;

    private final HttpCalls calls;

    HttpEngineClient(HttpCalls calls) {
        this.calls = calls;
    }

    @Override
    public CompletableFuture<BackendOffer> offer() {
        return calls.sendJson(calls.request(HttpMethod.GET, "/v1/offer"), calls.answerMillis(), BackendOffer.class);
    }

    @Override
    public CompletableFuture<EngineLoad> load() {
        return calls.sendJson(calls.request(HttpMethod.GET, "/v1/load"), calls.answerMillis(), EngineLoad.class);
    }

    @Override
    public CompletableFuture<EngineStepResults> steps(List<EngineStep> steps) {
        return calls.sendJson(
                calls.withJsonBody(calls.request(HttpMethod.POST, "/v1/steps"), Map.of("steps", steps)),
                STEPS_TIMEOUT_MILLIS,
                EngineStepResults.class);
    }

    @Override
    public CompletableFuture<Void> cancel(long session) {
        return calls.sendEmpty(calls.request(HttpMethod.POST, path(session) + "/cancel"), calls.answerMillis());
    }

    @Override
    public CompletableFuture<EngineKv> exportKv(long session) {
        return calls.sendJson(
                calls.request(HttpMethod.GET, path(session) + "/kv"), calls.answerMillis(), EngineKv.class);
    }

    @Override
    public CompletableFuture<Void> importKv(long session, EngineKv kv) {
        return calls.sendEmpty(
                calls.withJsonBody(calls.request(HttpMethod.PUT, path(session) + "/kv"), kv), calls.answerMillis());
    }

    @Override
    public CompletableFuture<Void> order(EngineOrder order) {
        return calls.sendEmpty(
                calls.withJsonBody(calls.request(HttpMethod.POST, "/v1/orders"), order), calls.answerMillis());
    }

    @Override
    public CompletableFuture<CacheEvents> cacheEvents(long from) {
        return calls.sendJson(
                calls.request(HttpMethod.GET, "/v1/cache/events").param("from", Long.toString(from)),
                calls.answerMillis(),
                CacheEvents.class);
    }

    private static String path(long session) {
        return String.format("/v1/sessions/%016x", session);
    }
}
