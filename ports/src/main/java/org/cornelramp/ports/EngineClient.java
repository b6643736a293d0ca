package org.cornelramp.ports;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Speaks to the model engine beside an agent. Safe for use by any thread; futures fail with {@link PlatformException}. */
public interface EngineClient {

    /** What the engine holds, and the text that changes when it restarts. */
    CompletableFuture<BackendOffer> offer();

    /** The engine's own load report, which lags. */
    CompletableFuture<EngineLoad> load();

    /** Runs steps in the engine's next iterations; done when all are. */
    CompletableFuture<EngineStepResults> steps(List<EngineStep> steps);

    /** Drops a session. */
    CompletableFuture<Void> cancel(long session);

    /** Exports the KV cache of a session. */
    CompletableFuture<EngineKv> exportKv(long session);

    /** Imports an exported KV cache. */
    CompletableFuture<Void> importKv(long session, EngineKv kv);

    /** Gives an order under a term; {@link PlatformException.Kind#REFUSED} if the engine knows a newer one. */
    CompletableFuture<Void> order(EngineOrder order);

    /** Cache events from a number on; late, and with gaps. */
    CompletableFuture<CacheEvents> cacheEvents(long from);
}
