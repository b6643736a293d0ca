package org.cornelramp.daemon.agent;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.ports.BackendOffer;
import org.cornelramp.ports.ServiceCall;
import org.cornelramp.ports.ServiceClient;
import org.cornelramp.ports.ServiceReply;

/** A plain service whose calls complete immediately or when the test completes them. Safe for use by any thread. */
final class FakeService implements ServiceClient {
    final List<ServiceCall> calls = new CopyOnWriteArrayList<>();
    final List<CompletableFuture<ServiceReply>> replies = new CopyOnWriteArrayList<>();
    volatile boolean answersImmediately = true;
    volatile String incarnation = "life-1";
    volatile int slots = 2;

    @Override
    public CompletableFuture<BackendOffer> offer() {
        return CompletableFuture.completedFuture(
                new BackendOffer(new ServiceName("booking"), Optional.empty(), "1", "none", slots, incarnation));
    }

    @Override
    public CompletableFuture<ServiceReply> call(ServiceCall call) {
        if (call.path().isEmpty()) {
            throw new IllegalArgumentException("no path");
        }
        CompletableFuture<ServiceReply> reply = new CompletableFuture<>();
        calls.add(call);
        replies.add(reply);
        if (answersImmediately) {
            reply.complete(reply("booked " + calls.size()));
        }
        return reply;
    }

    static ServiceReply reply(String text) {
        return new ServiceReply(201, "text/plain", text.getBytes(StandardCharsets.UTF_8));
    }
}
