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
 * In-memory VM list that returns the list as it was set a configured lag ago. Safe for use by any thread.
 *
 * <p>{@code PUT /v1/vms} with an array of VMs, or an object that holds it as {@code vms}, sets the list.
 */
public final class VmsStandIn implements StandIn {
    private static final int NOT_FOUND = 404;

    private final Clock clock;
    private final long lagMillis;
    private final Deque<Snapshot> snapshots = new ArrayDeque<>();

    /** @param lagMillis time after which a list that is set becomes visible, in milliseconds */
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
        return CompletableFuture.completedFuture(Reply.ok(visibleAt(clock.millis() - lagMillis)));
    }

    private synchronized void set(JsonNode vms, long now) {
        if (!vms.isArray()) {
            throw new IllegalArgumentException(
                    "The VM list must be a JSON array, or an object that holds the array as vms");
        }
        snapshots.addLast(new Snapshot(now, vms));
    }

    private synchronized Map<String, Object> visibleAt(long at) {
        while (snapshots.size() > 1 && secondSnapshot().setAtMillis <= at) {
            snapshots.removeFirst();
        }
        Snapshot first = snapshots.peekFirst();
        JsonNode vms = first == null || first.setAtMillis > at ? JsonNodeFactory.instance.arrayNode() : first.vms;
        return Map.of("at", at, "vms", vms);
    }

    private Snapshot secondSnapshot() {
        return snapshots.stream().skip(1).findFirst().orElseThrow();
    }

    private record Snapshot(long setAtMillis, JsonNode vms) {}
}
