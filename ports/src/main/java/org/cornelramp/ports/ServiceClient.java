package org.cornelramp.ports;

import java.util.concurrent.CompletableFuture;

/**
 * Calls the plain service beside an agent. Safe for use by any thread.
 *
 * <p>The {@link PlatformException.Kind} of a failed call states whether it may have taken effect; the client itself
 * never repeats a call.
 */
public interface ServiceClient {

    /** Returns what the service offers. */
    CompletableFuture<BackendOffer> offer();

    /** Sends a call exactly once. */
    CompletableFuture<ServiceReply> call(ServiceCall call);
}
