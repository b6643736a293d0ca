package org.cornelramp.ports;

import java.util.concurrent.CompletableFuture;

/** Asks the weight store, whose rate is limited, to make weights ready. Safe for use by any thread. */
public interface WeightStoreClient {

    /**
     * Gives the time at which the weights are ready, in milliseconds since 1970; fails with
     * {@link PlatformException.Kind#REFUSED} and a time to come back when over the store's rate.
     */
    CompletableFuture<Long> load(String model, String version);
}
