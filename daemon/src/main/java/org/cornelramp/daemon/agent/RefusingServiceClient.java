package org.cornelramp.daemon.agent;

import java.util.concurrent.CompletableFuture;
import org.cornelramp.ports.BackendOffer;
import org.cornelramp.ports.PlatformException;
import org.cornelramp.ports.ServiceCall;
import org.cornelramp.ports.ServiceClient;
import org.cornelramp.ports.ServiceReply;

/** Refuses every service call, for an agent whose backend server is an engine. Stateless. */
final class RefusingServiceClient implements ServiceClient {
    private static <T> CompletableFuture<T> refused() {
        return CompletableFuture.failedFuture(new PlatformException(
                PlatformException.Kind.REFUSED, "This backend server is an engine; route requests by its offer", 0));
    }

    @Override
    public CompletableFuture<BackendOffer> offer() {
        return refused();
    }

    @Override
    public CompletableFuture<ServiceReply> call(ServiceCall call) {
        return refused();
    }
}
