package org.cornelramp.daemon.agent;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.cornelramp.ports.BackendOffer;
import org.cornelramp.ports.CacheEvents;
import org.cornelramp.ports.EngineClient;
import org.cornelramp.ports.EngineKv;
import org.cornelramp.ports.EngineLoad;
import org.cornelramp.ports.EngineOrder;
import org.cornelramp.ports.EngineStep;
import org.cornelramp.ports.EngineStepResults;
import org.cornelramp.ports.PlatformException;

/** Refuses every engine call, for an agent whose backend server is a plain service. Stateless. */
final class RefusingEngineClient implements EngineClient {
    private static <T> CompletableFuture<T> refused() {
        return CompletableFuture.failedFuture(new PlatformException(
                PlatformException.Kind.REFUSED,
                "This backend server is a plain service; route requests by its offer",
                0));
    }

    @Override
    public CompletableFuture<BackendOffer> offer() {
        return refused();
    }

    @Override
    public CompletableFuture<EngineLoad> load() {
        return refused();
    }

    @Override
    public CompletableFuture<EngineStepResults> steps(List<EngineStep> steps) {
        return refused();
    }

    @Override
    public CompletableFuture<Void> cancel(long session) {
        return refused();
    }

    @Override
    public CompletableFuture<EngineKv> exportKv(long session) {
        return refused();
    }

    @Override
    public CompletableFuture<Void> importKv(long session, EngineKv kv) {
        return refused();
    }

    @Override
    public CompletableFuture<Void> order(EngineOrder order) {
        return refused();
    }

    @Override
    public CompletableFuture<CacheEvents> cacheEvents(long from) {
        return refused();
    }
}
