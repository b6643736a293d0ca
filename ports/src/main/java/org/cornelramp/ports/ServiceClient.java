package org.cornelramp.ports;

import java.util.concurrent.CompletableFuture;

/**
 * Calls the plain service beside an agent. Safe for use by any thread.
 *
 * <p>A failed call tells by its {@link PlatformException.Kind} whether it may have taken effect; the client itself
 * never repeats a call.
 */
public interface ServiceClient {

    /** What the service is. */
    CompletableFuture<BackendOffer> offer();

    /** Makes one call, once. */
    CompletableFuture<ServiceReply> call(ServiceCall call);
}
