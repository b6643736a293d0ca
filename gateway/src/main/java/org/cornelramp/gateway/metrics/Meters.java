package org.cornelramp.gateway.metrics;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.cornelramp.core.routing.RouteKind;
import org.jctools.queues.MpscArrayQueue;

/**
 * What a gateway counts and times. Safe for use by any thread.
 *
 * <p>Names and units stand in docs/OPERATIONS.md; labels take few values each, so the output stays small.
 *
 * <p>What is counted goes through a bounded ring to a thread of its own, which makes the registry only some seconds after
 * the start, or when the metrics are asked for. The registry takes a fifth of the processor time of a start, and a
 * gateway that was killed has clients waiting then. A full ring loses counts and counts how many.
 */
public final class Meters {
    private static final String PREFIX = "cornelramp.gateway.";
    private static final Duration LEAST = Duration.ofMillis(5);
    private static final Duration MOST = Duration.ofSeconds(20);

    /** Ten seconds of five counts a request at 60 requests a second, twice over. */
    private static final int RING = 8_192;

    /** The clients that waited for the start have been served by then. */
    private static final long FIRST_PAUSE_NANOS = 10_000_000_000L;

    private static final long PAUSE_NANOS = 250_000_000L;

    private final MpscArrayQueue<Consumer<PrometheusMeterRegistry>> ring = new MpscArrayQueue<>(RING);
    private final LongAdder lost = new LongAdder();
    private final Thread thread = new Thread(this::run, "metrics");
    private volatile boolean running = true;
    private PrometheusMeterRegistry registry;

    public Meters() {
        thread.setDaemon(true);
    }

    /** Starts the thread. */
    public void start() {
        thread.start();
    }

    /** Tells the thread to end. */
    public void stop() {
        running = false;
        LockSupport.unpark(thread);
    }

    private void run() {
        LockSupport.parkNanos(this, FIRST_PAUSE_NANOS);
        while (running) {
            apply();
            LockSupport.parkNanos(this, PAUSE_NANOS);
        }
    }

    /** Counts all that the ring holds. */
    private synchronized PrometheusMeterRegistry apply() {
        if (registry == null) {
            registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
            Gauge.builder(PREFIX + "metrics.lost", lost::sum).register(registry);
        }
        ring.drain(count -> count.accept(registry));
        return registry;
    }

    private void later(Consumer<PrometheusMeterRegistry> count) {
        if (!ring.offer(count)) {
            lost.increment();
        }
    }

    /** A request has ended. */
    public void requestEnded(RouteKind kind, String outcome, long millis) {
        String kindText = kind.name().toLowerCase(Locale.ROOT);
        later(into -> into.counter(PREFIX + "requests", "kind", kindText, "outcome", outcome)
                .increment());
        time("request.duration", kindText, millis);
    }

    /** The first event of a stream was passed on. */
    public void firstEvent(long millis) {
        time("first.event", "streaming", millis);
    }

    /** A stream has ended whose longest pause between events was so long. */
    public void longestPause(long millis) {
        time("longest.pause", "streaming", millis);
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

    /** A record of the store could not be read. */
    public void unreadable(String follower) {
        count("records.unreadable", "topic", follower);
    }

    /** The store was called. */
    public void storeCall(String call, String result) {
        later(into -> into.counter(PREFIX + "store.calls", "call", call, "result", result)
                .increment());
    }

    /** Shows a value as it is when the metrics are read. */
    public void gauge(String name, Supplier<Number> value) {
        later(into -> Gauge.builder(PREFIX + name, value).register(into));
    }

    /** All meters in Prometheus' text format. */
    public String text() {
        return apply().scrape();
    }

    private void count(String name, String label, String value) {
        later(into -> into.counter(PREFIX + name, label, value.toLowerCase(Locale.ROOT))
                .increment());
    }

    private void time(String name, String kind, long millis) {
        later(into -> Timer.builder(PREFIX + name)
                .tag("kind", kind)
                .publishPercentileHistogram()
                .minimumExpectedValue(LEAST)
                .maximumExpectedValue(MOST)
                .register(into)
                .record(millis, TimeUnit.MILLISECONDS));
    }
}
