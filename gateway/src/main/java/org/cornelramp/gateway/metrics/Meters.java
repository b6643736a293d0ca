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
 * The counters, timers and gauges of a gateway. Safe for use by any thread.
 *
 * <p>Names and units are listed in docs/OPERATIONS.md. Each label takes few values, so the output stays small.
 *
 * <p>Measurements pass through a bounded ring buffer to a separate thread, which creates the registry only some seconds
 * after the start, or when the metrics are first requested. Creating the registry takes a fifth of the processor time
 * of a start, while clients wait for a gateway that is restarted after a crash. A full ring buffer drops measurements
 * and counts them.
 */
public final class Meters {
    private static final String PREFIX = "cornelramp.gateway.";
    private static final Duration MIN_EXPECTED = Duration.ofMillis(5);
    private static final Duration MAX_EXPECTED = Duration.ofSeconds(20);

    /** Twice the measurements of ten seconds, at 60 requests per second and five measurements per request. */
    private static final int RING_CAPACITY = 8_192;

    /** Delay of the registry's creation; the clients that waited for the start have been served by then. */
    private static final long INITIAL_DELAY_NANOS = 10_000_000_000L;

    private static final long POLL_INTERVAL_NANOS = 250_000_000L;

    private final MpscArrayQueue<Consumer<PrometheusMeterRegistry>> pending = new MpscArrayQueue<>(RING_CAPACITY);
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

    /** Asks the thread to end; does not wait for it. */
    public void stop() {
        running = false;
        LockSupport.unpark(thread);
    }

    private void run() {
        LockSupport.parkNanos(this, INITIAL_DELAY_NANOS);
        while (running) {
            applyPending();
            LockSupport.parkNanos(this, POLL_INTERVAL_NANOS);
        }
    }

    /** Applies all queued measurements to the registry, which it creates if necessary. */
    private synchronized PrometheusMeterRegistry applyPending() {
        if (registry == null) {
            registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
            Gauge.builder(PREFIX + "metrics.lost", lost::sum).register(registry);
        }
        pending.drain(count -> count.accept(registry));
        return registry;
    }

    private void enqueue(Consumer<PrometheusMeterRegistry> count) {
        if (!pending.offer(count)) {
            lost.increment();
        }
    }

    /** Counts a request that has ended, and records its duration. */
    public void recordRequest(RouteKind kind, String outcome, long millis) {
        String kindText = kind.name().toLowerCase(Locale.ROOT);
        enqueue(target -> target.counter(PREFIX + "requests", "kind", kindText, "outcome", outcome)
                .increment());
        time("request.duration", kindText, millis);
    }

    /** Records the time to the first event of a stream. */
    public void recordTimeToFirstEvent(long millis) {
        time("first.event", "streaming", millis);
    }

    /** Records the longest pause between two events of a stream that has ended. */
    public void recordLongestPause(long millis) {
        time("longest.pause", "streaming", millis);
    }

    /** Counts an attempt that has ended. */
    public void countAttempt(String end) {
        count("attempts", "end", end);
    }

    /** Counts a response that has ended with its connection, without a length or chunks: confirmed or refuted. */
    public void countUnframedEnd(String end) {
        count("ends.unframed", "end", end);
    }

    /** Counts an attempt or a response with ids of events left out: received from an engine or forwarded to a client. */
    public void countEventGap(String where) {
        count("event.gaps", "where", where);
    }

    /** Counts a request that the gateway itself has refused. */
    public void countRefusal(String cause) {
        count("refusals", "cause", cause);
    }

    /** Counts a decision on the admission of a request to a service with several priorities. */
    public void countAdmission(String decision) {
        count("admissions", "decision", decision);
    }

    /** Counts an exception in a step of the router's work, which ends only that step. */
    public void countException(String step) {
        count("exceptions", "step", step);
    }

    /** Counts a backend server that has become suspected of having failed. */
    public void countSuspicion(String evidence) {
        count("suspicions", "evidence", evidence);
    }

    /** Counts a crash of a backend server under requests of this gateway. */
    public void countCrash(String evidence) {
        count("server.crashes", "evidence", evidence);
    }

    /** Counts a request that is refused from now on because servers crashed under it, or that is not any more. */
    public void countPoisonRequest(String change) {
        count("poison.requests", "change", change);
    }

    /** Counts parts of prompts that are refused from now on because servers crashed under them, or that are not any more. */
    public void countPoisonPart(String change) {
        count("poison.parts", "change", change);
    }

    /** Counts a change of a limit that a backend server names. */
    public void countLimitChange(String change) {
        count("server.limits", "change", change);
    }

    /** Counts a rest that a backend server has asked for or that has ended. */
    public void countServerRest(String change) {
        count("server.rests", "change", change);
    }

    /** Counts a plain server that has become known to be full: it has shed a request, or has reported so. */
    public void countFullServer(String evidence) {
        count("server.full", "evidence", evidence);
    }

    /** Counts a wait of a request for a slot at a plain server that has started, or how it ended. */
    public void countSlotWait(String change) {
        count("slot.waits", "change", change);
    }

    /** Counts a backend server that has said that it is shutting down before its registration did. */
    public void countAnnouncedShutdown() {
        enqueue(target -> target.counter(PREFIX + "server.shutdowns.announced").increment());
    }

    /** Counts a connection that is closed after its response because this gateway is overloaded. */
    public void countCapacityClose() {
        enqueue(target -> target.counter(PREFIX + "capacity.closes").increment());
    }

    /** Counts a run whose engines hold the beginning of its prompt, and the tokens that they need not read. */
    public void countPromptPrefix(String path, int savedTokens) {
        count("prompt.prefix.hits", "path", path);
        enqueue(target -> target.counter(PREFIX + "prompt.prefix.tokens.saved").increment(savedTokens));
    }

    /** Counts an order to move a running request to another path. */
    public void countMove(boolean done) {
        count("moves", "result", done ? "done" : "refused");
    }

    /** Counts an order to an engine to load layers. */
    public void countOrder(boolean accepted) {
        count("orders", "result", accepted ? "accepted" : "failed");
    }

    /** Counts an order that only relieves a slow engine. */
    public void countAdditionalLoad(boolean accepted) {
        count("additional.loads", "result", accepted ? "accepted" : "failed");
    }

    /** Counts a record of the store that could not be decoded. */
    public void countUnreadableRecord(String follower) {
        count("records.unreadable", "topic", follower);
    }

    /**
     * Records a version of the configuration that has come into force.
     *
     * @param from who provided it
     * @param knowledgeAgeMillis time since this gateway last knew all versions: the most that the version may be late
     */
    public void recordConfigChange(String from, long knowledgeAgeMillis) {
        time("config.change.knowledge.age", from, knowledgeAgeMillis);
    }

    /** Counts a call of the store. */
    public void countStoreCall(String call, String result) {
        enqueue(target -> target.counter(PREFIX + "store.calls", "call", call, "result", result)
                .increment());
    }

    /** Registers a gauge whose value is read when the metrics are requested. */
    public void gauge(String name, Supplier<Number> value) {
        enqueue(target -> Gauge.builder(PREFIX + name, value).register(target));
    }

    /** All metrics in the Prometheus text format. */
    public String scrape() {
        return applyPending().scrape();
    }

    private void count(String name, String label, String value) {
        enqueue(target -> target.counter(PREFIX + name, label, value.toLowerCase(Locale.ROOT))
                .increment());
    }

    private void time(String name, String kind, long millis) {
        enqueue(target -> Timer.builder(PREFIX + name)
                .tag("kind", kind)
                .publishPercentileHistogram()
                .minimumExpectedValue(MIN_EXPECTED)
                .maximumExpectedValue(MAX_EXPECTED)
                .register(target)
                .record(millis, TimeUnit.MILLISECONDS));
    }
}
