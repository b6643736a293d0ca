package org.cornelramp.standins.vms;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.time.Clock;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.cornelramp.standins.http.Call;
import org.cornelramp.standins.http.Reply;
import org.cornelramp.standins.http.StandIn;

/**
 * The VM list in memory: shows what was set a lag ago. Safe for use by any thread.
 *
 * <p>{@code PUT /v1/vms} with an array of VMs, or an object that holds it as {@code vms}, sets the list.
 */
public final class VmsStandIn implements StandIn {
    private static final int NOT_FOUND = 404;

    private final Clock clock;
    private final long lagMillis;
    private final Deque<Version> versions = new ArrayDeque<>();

    /** @param lagMillis how far the shown list is behind what was set */
    public VmsStandIn(Clock clock, long lagMillis) {
        this.clock = clock;
        this.lagMillis = lagMillis;
    }

    @Override
    public String kind() {
        return "vms";
    }

    @Override
    public CompletableFuture<Reply> handle(Call call) {
        if (!call.path().equals("/v1/vms")) {
            return CompletableFuture.completedFuture(Reply.error(NOT_FOUND, "No such path"));
        }
        if (call.method().equals("PUT")) {
            JsonNode body = call.json();
            set(body.isArray() ? body : body.path("vms"), clock.millis());
            return CompletableFuture.completedFuture(Reply.noContent());
        }
        return CompletableFuture.completedFuture(Reply.ok(shown(clock.millis() - lagMillis)));
    }

    private synchronized void set(JsonNode vms, long now) {
        if (!vms.isArray()) {
            throw new IllegalArgumentException("The VM list is an array");
        }
        versions.addLast(new Version(now, vms));
    }

    private synchronized Map<String, Object> shown(long at) {
        while (versions.size() > 1 && second().at <= at) {
            versions.removeFirst();
        }
        Version first = versions.peekFirst();
        JsonNode vms = first == null || first.at > at ? JsonNodeFactory.instance.arrayNode() : first.vms;
        return Map.of("at", at, "vms", vms);
    }

    private Version second() {
        return versions.stream().skip(1).findFirst().orElseThrow();
    }

    private record Version(long at, JsonNode vms) {}
}
