package org.cornelramp.ports;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Client of the model engine beside an agent. Safe for use by any thread; futures fail with {@link PlatformException}.
 */
public interface EngineClient {

    /** Returns what the engine offers, and the text that changes when it restarts. */
    CompletableFuture<BackendOffer> offer();

    /** Returns the engine's own load report, which may be out of date. */
    CompletableFuture<EngineLoad> load();

    /** Runs steps in the engine's next iterations; completes when all have run. */
    CompletableFuture<EngineStepResults> steps(List<EngineStep> steps);

    /** Cancels a session. */
    CompletableFuture<Void> cancel(long session);

    /** Exports the KV cache of a session. */
    CompletableFuture<EngineKv> exportKv(long session);

    /** Imports an exported KV cache. */
    CompletableFuture<Void> importKv(long session, EngineKv kv);

    /**
     * Sends an order under a term; fails with {@link PlatformException.Kind#REFUSED} if the engine knows a newer one.
     */
    CompletableFuture<Void> order(EngineOrder order);

    /** Returns cache events from a number onwards, which may be late and have gaps. */
    CompletableFuture<CacheEvents> cacheEvents(long from);
}
