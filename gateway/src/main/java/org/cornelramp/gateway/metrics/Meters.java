package org.cornelramp.gateway.metrics;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.cornelramp.core.routing.RouteKind;

/**
 * What a gateway counts and times. Safe for use by any thread.
 *
 * <p>Names and units stand in docs/OPERATIONS.md; labels take few values each, so the output stays small.
 */
public final class Meters {
    private static final String PREFIX = "cornelramp.gateway.";
    private static final Duration LEAST = Duration.ofMillis(5);
    private static final Duration MOST = Duration.ofSeconds(20);

    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

    /** A request has ended. */
    public void requestEnded(RouteKind kind, String outcome, long millis) {
        String kindText = kind.name().toLowerCase(Locale.ROOT);
        registry.counter(PREFIX + "requests", "kind", kindText, "outcome", outcome)
                .increment();
        timer("request.duration", kindText).record(millis, TimeUnit.MILLISECONDS);
    }

    /** The first event of a stream was passed on. */
    public void firstEvent(long millis) {
        timer("first.event", "streaming").record(millis, TimeUnit.MILLISECONDS);
    }

    /** A stream has ended whose longest pause between events was so long. */
    public void longestPause(long millis) {
        timer("longest.pause", "streaming").record(millis, TimeUnit.MILLISECONDS);
    }

    /** An attempt has ended. */
    public void attemptEnded(String end) {
        count("attempts", "end", end);
    }

    /** The gateway has refused a request by itself. */
    public void refused(String cause) {
        count("refusals", "cause", cause);
    }

    /** A server is suspected. */
    public void suspected(String evidence) {
        count("suspicions", "evidence", evidence);
    }

    /** A running request was moved, or could not be. */
    public void moved(boolean done) {
        count("moves", "result", done ? "done" : "refused");
    }

    /** An engine was ordered to hold layers. */
    public void ordered(boolean accepted) {
        count("orders", "result", accepted ? "accepted" : "failed");
    }

    /** The store was called. */
    public void storeCall(String call, String result) {
        registry.counter(PREFIX + "store.calls", "call", call, "result", result).increment();
    }

    /** Shows a value as it is when the metrics are read. */
    public void gauge(String name, Supplier<Number> value) {
        Gauge.builder(PREFIX + name, value).register(registry);
    }

    /** All meters in Prometheus' text format. */
    public String text() {
        return registry.scrape();
    }

    private void count(String name, String label, String value) {
        registry.counter(PREFIX + name, label, value.toLowerCase(Locale.ROOT)).increment();
    }

    private Timer timer(String name, String kind) {
        return Timer.builder(PREFIX + name)
                .tag("kind", kind)
                .publishPercentileHistogram()
                .minimumExpectedValue(LEAST)
                .maximumExpectedValue(MOST)
                .register(registry);
    }
}
