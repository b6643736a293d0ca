package org.cornelramp.standins.weights;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Clock;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.cornelramp.standins.http.Call;
import org.cornelramp.standins.http.Reply;
import org.cornelramp.standins.http.StandIn;
import org.cornelramp.standins.http.Trace;

/** The weight store: takes loads at a limited rate, and each needs a while. Safe for use by any thread. */
public final class WeightsStandIn implements StandIn {
    private static final int ACCEPTED = 202;
    private static final int NOT_FOUND = 404;
    private static final int TOO_MANY = 429;
    private static final long MILLIS_PER_SECOND = 1_000;

    private final Clock clock;
    private final Trace trace;
    private final long intervalMillis;
    private long nextFree;

    /** @param loadsPerSecond loads taken in one second */
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
        if (!call.is("POST", "/v1/loads")) {
            return CompletableFuture.completedFuture(Reply.error(NOT_FOUND, "No such path"));
        }
        return CompletableFuture.completedFuture(load(call.json(), clock.millis()));
    }

    private synchronized Reply load(JsonNode wanted, long now) {
        if (now < nextFree) {
            long seconds = (nextFree - now + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
            return Reply.error(TOO_MANY, "Over the load rate").withRetryAfter(seconds);
        }
        nextFree = now + intervalMillis;
        trace.add(Map.of(
                "model", wanted.path("model").asText(),
                "version", wanted.path("version").asText(),
                "at", now));
        return Reply.of(ACCEPTED, Map.of("readyAt", nextFree));
    }
}
