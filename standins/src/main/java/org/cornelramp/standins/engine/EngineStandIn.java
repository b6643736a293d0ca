package org.cornelramp.standins.engine;

import java.time.Clock;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cornelramp.standins.http.Call;
import org.cornelramp.standins.http.Faults;
import org.cornelramp.standins.http.Reply;
import org.cornelramp.standins.http.StandIn;
import org.cornelramp.standins.http.Timer;
import org.cornelramp.standins.http.Trace;

/**
 * HTTP interface of an engine with continuous batching. Safe for use by any thread.
 *
 * <p>Fault switches in addition to the common ones: {@code slow-factor}, {@code event-gap} (n: lose every n-th cache
 * event), {@code crash-on} (a token number: halt when a session starts with a prompt that contains it).
 */
public final class EngineStandIn implements StandIn {
    private static final String SESSIONS_PATH = "/v1/sessions/";
    private static final long SAMPLE_INTERVAL_MILLIS = 100;
    private static final int MAX_SAMPLES = 100;
    private static final int THROUGHPUT_SAMPLES = 10;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final int ACCEPTED = 202;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int UNAVAILABLE = 503;
    private static final int CRASH_STATUS = 137;

    private final EngineOptions options;
    private final Faults faults;
    private final Trace trace;
    private final Clock clock;
    private final String incarnation;
    private final EngineLoop loop;
    private final Deque<EngineMessages.Load> loadSamples = new ArrayDeque<>();
    private final Deque<Long> processedInputSamples = new ArrayDeque<>();
    private long newestTerm;
    private volatile String version;

    public EngineStandIn(
            EngineOptions options, Faults faults, Trace trace, Clock clock, Timer timer, String incarnation) {
        this.options = options;
        this.faults = faults;
        this.trace = trace;
        this.clock = clock;
        this.incarnation = incarnation;
        this.version = options.version();
        this.loop = new EngineLoop(options, faults, trace, clock);
        loop.start();
        sampleLoad();
        timer.runEvery(SAMPLE_INTERVAL_MILLIS, this::sampleLoad);
    }

    @Override
    public String kind() {
        return "engine";
    }

    @Override
    public boolean crashesOn(Call call, String text) {
        return false;
    }

    @Override
    public void stop() {
        loop.stop();
    }

    @Override
    public CompletableFuture<Reply> handle(Call call) {
        if (call.matches("POST", "/v1/steps")) {
            return submitSteps(call.json(EngineMessages.Steps.class).steps());
        }
        return CompletableFuture.completedFuture(handleImmediate(call));
    }

    private Reply handleImmediate(Call call) {
        if (call.path().startsWith(SESSIONS_PATH)) {
            return handleSession(call);
        }
        return switch (call.method() + " " + call.path()) {
            case "GET /v1/offer" -> Reply.ok(offer());
            case "GET /v1/load" -> Reply.ok(reportedLoad(clock.millis() - options.reportLagMillis()));
            case "GET /v1/cache/events" -> Reply.ok(loop.cacheEvents(call.longParameter("from", 0)));
            case "POST /v1/orders" -> handleOrder(call.json(EngineMessages.Order.class));
            default -> Reply.error(NOT_FOUND, "No such path");
        };
    }

    private Map<String, Object> offer() {
        return Map.of(
                "service", options.model(),
                "layers",
                        Map.of(
                                "from", options.layers().from(),
                                "to", options.layers().to(),
                                "total", options.layers().total()),
                "version", version,
                "accelerator", options.accelerator(),
                "slots", options.slots(),
                "life", incarnation);
    }

    private CompletableFuture<Reply> submitSteps(List<EngineMessages.Step> steps) {
        steps.forEach(this::crashIfRequested);
        List<CompletableFuture<EngineMessages.Result>> results = new ArrayList<>();
        for (EngineMessages.Step step : steps) {
            Optional<CompletableFuture<EngineMessages.Result>> result = loop.submit(step);
            if (result.isEmpty()) {
                return CompletableFuture.completedFuture(
                        Reply.error(UNAVAILABLE, "The queue of steps is full; retry later"));
            }
            results.add(result.get());
        }
        return CompletableFuture.allOf(results.toArray(new CompletableFuture<?>[0]))
                .thenApply(done -> Reply.ok(new EngineMessages.Results(
                        incarnation,
                        results.stream().map(CompletableFuture::join).toList())));
    }

    private void crashIfRequested(EngineMessages.Step step) {
        String token = faults.text("crash-on");
        if (token.isEmpty() || step.position() != 0) {
            return;
        }
        for (long input : step.inputs()) {
            if (input == Long.parseLong(token)) {
                Runtime.getRuntime().halt(CRASH_STATUS);
            }
        }
    }

    private Reply handleSession(Call call) {
        String[] parts = call.path().substring(SESSIONS_PATH.length()).split("/", 2);
        String action = call.method() + " " + (parts.length > 1 ? parts[1] : "");
        return switch (action) {
            case "POST cancel" -> {
                loop.cancel(parts[0]);
                yield Reply.noContent();
            }
            case "GET kv" ->
                loop.exportKv(parts[0]).map(Reply::ok).orElseGet(() -> Reply.error(NOT_FOUND, "No such session"));
            case "PUT kv" -> {
                loop.importKv(parts[0], call.json(EngineMessages.Kv.class));
                yield Reply.noContent();
            }
            default -> Reply.error(NOT_FOUND, "No such path");
        };
    }

    private synchronized Reply handleOrder(EngineMessages.Order order) {
        if (options.checkTerms() && order.term() < newestTerm) {
            return Reply.of(CONFLICT, Map.of("newest", newestTerm));
        }
        newestTerm = Math.max(newestTerm, order.term());
        if (order.kind().equals("set-version")) {
            version = order.argument();
        }
        trace.add(new EngineMessages.OrderEvent(order.term(), order.kind(), order.argument(), clock.millis()));
        return Reply.of(ACCEPTED, Map.of());
    }

    private synchronized void sampleLoad() {
        processedInputSamples.addLast(loop.processedInputs());
        if (processedInputSamples.size() > THROUGHPUT_SAMPLES + 1) {
            processedInputSamples.removeFirst();
        }
        double seconds = Math.max(1, processedInputSamples.size() - 1) * SAMPLE_INTERVAL_MILLIS / MILLIS_PER_SECOND;
        loadSamples.addLast(loop.load((processedInputSamples.getLast() - processedInputSamples.getFirst()) / seconds));
        if (loadSamples.size() > MAX_SAMPLES) {
            loadSamples.removeFirst();
        }
    }

    private synchronized EngineMessages.Load reportedLoad(long at) {
        EngineMessages.Load reported = loadSamples.getFirst();
        for (EngineMessages.Load sample : loadSamples) {
            if (sample.at() <= at) {
                reported = sample;
            }
        }
        return reported;
    }
}
