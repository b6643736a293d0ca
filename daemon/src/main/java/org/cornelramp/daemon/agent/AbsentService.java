package org.cornelramp.daemon.agent;

import java.util.concurrent.CompletableFuture;
import org.cornelramp.platform.BackendOffer;
import org.cornelramp.platform.PlatformException;
import org.cornelramp.platform.ServiceCall;
import org.cornelramp.platform.ServiceClient;
import org.cornelramp.platform.ServiceReply;

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
