package org.cornelramp.daemon.agent;

import java.util.concurrent.CompletableFuture;
import org.cornelramp.ports.BackendOffer;
import org.cornelramp.ports.PlatformException;
import org.cornelramp.ports.ServiceCall;
import org.cornelramp.ports.ServiceClient;
import org.cornelramp.ports.ServiceReply;

/** Stands in for the plain service at an agent whose backend server is an engine. Stateless. */
final class AbsentService implements ServiceClient {
    private static <T> CompletableFuture<T> refused() {
        return CompletableFuture.failedFuture(new PlatformException(
                PlatformException.Kind.REFUSED, "This backend server is an engine; route by its offer", 0));
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
