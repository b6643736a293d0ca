package org.cornelramp.ports;

import java.util.concurrent.CompletableFuture;

/** Requests weights from the weight store, which limits the request rate. Safe for use by any thread. */
public interface WeightStoreClient {

    /**
     * Requests a load and returns the time at which the weights are ready, in milliseconds since 1970; fails with
     * {@link PlatformException.Kind#REFUSED} and a retry delay if the store's rate limit is exceeded.
     */
    CompletableFuture<Long> load(String model, String version);
}
