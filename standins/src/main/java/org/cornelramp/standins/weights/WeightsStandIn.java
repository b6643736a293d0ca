package org.cornelramp.standins.weights;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Clock;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.cornelramp.standins.http.Call;
import org.cornelramp.standins.http.Reply;
import org.cornelramp.standins.http.StandIn;
import org.cornelramp.standins.http.Trace;

/**
 * Weight store that accepts loads at a limited rate. A load is ready one interval of that rate after it is accepted.
 * Safe for use by any thread.
 */
public final class WeightsStandIn implements StandIn {
    private static final int ACCEPTED = 202;
    private static final int NOT_FOUND = 404;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final long MILLIS_PER_SECOND = 1_000;

    private final Clock clock;
    private final Trace trace;
    private final long intervalMillis;
    private long nextLoadAtMillis;

    /** @param loadsPerSecond maximum rate of accepted loads */
    public WeightsStandIn(Clock clock, Trace trace, double loadsPerSecond) {
        this.clock = clock;
        this.trace = trace;
        this.intervalMillis = Math.round(MILLIS_PER_SECOND / loadsPerSecond);
    }

    @Override
    public String kind() {
        return "weights";
    }

    @Override
    public CompletableFuture<Reply> handle(Call call) {
        if (!call.matches("POST", "/v1/loads")) {
            return CompletableFuture.completedFuture(Reply.error(NOT_FOUND, "No such path"));
        }
        return CompletableFuture.completedFuture(acceptLoad(call.json(), clock.millis()));
    }

    private synchronized Reply acceptLoad(JsonNode request, long now) {
        if (now < nextLoadAtMillis) {
            long seconds = (nextLoadAtMillis - now + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
            return Reply.error(TOO_MANY_REQUESTS, "Load rate exceeded; retry after the time in Retry-After")
                    .withRetryAfter(seconds);
        }
        nextLoadAtMillis = now + intervalMillis;
        trace.add(Map.of(
                "model", request.path("model").asText(),
                "version", request.path("version").asText(),
                "at", now));
        return Reply.of(ACCEPTED, Map.of("readyAt", nextLoadAtMillis));
    }
}
