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
 * The HTTP face of an engine that batches continuously. Safe for use by any thread.
 *
 * <p>Switches beside the common ones: {@code slow-factor}, {@code event-gap} (lose each cache event of that number),
 * {@code crash-on} (a token number: halt when a session starts with a prompt that holds it).
 */
public final class EngineStandIn implements StandIn {
    private static final String SESSIONS = "/v1/sessions/";
    private static final long SAMPLE_MILLIS = 100;
    private static final int MAX_SAMPLES = 100;
    private static final int SPEED_SAMPLES = 10;
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
    private final String life;
    private final EngineLoop loop;
    private final Deque<EngineMessages.Load> samples = new ArrayDeque<>();
    private final Deque<Long> ran = new ArrayDeque<>();
    private long newestTerm;
    private volatile String version;

    public EngineStandIn(EngineOptions options, Faults faults, Trace trace, Clock clock, Timer timer, String life) {
        this.options = options;
        this.faults = faults;
        this.trace = trace;
        this.clock = clock;
        this.life = life;
        this.version = options.version();
        this.loop = new EngineLoop(options, faults, trace, clock);
        loop.start();
        sample();
        timer.every(SAMPLE_MILLIS, this::sample);
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
        if (call.is("POST", "/v1/steps")) {
            return steps(call.json(EngineMessages.Steps.class).steps());
        }
        return CompletableFuture.completedFuture(other(call));
    }

    private Reply other(Call call) {
        if (call.path().startsWith(SESSIONS)) {
            return session(call);
        }
        return switch (call.method() + " " + call.path()) {
            case "GET /v1/offer" -> Reply.ok(offer());
            case "GET /v1/load" -> Reply.ok(shownLoad(clock.millis() - options.reportLagMillis()));
            case "GET /v1/cache/events" -> Reply.ok(loop.cacheEvents(call.number("from", 0)));
            case "POST /v1/orders" -> order(call.json(EngineMessages.Order.class));
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
                "life", life);
    }

    private CompletableFuture<Reply> steps(List<EngineMessages.Step> steps) {
        steps.forEach(this::crashIfAsked);
        List<CompletableFuture<EngineMessages.Result>> results = new ArrayList<>();
        for (EngineMessages.Step step : steps) {
            Optional<CompletableFuture<EngineMessages.Result>> result = loop.submit(step);
            if (result.isEmpty()) {
                return CompletableFuture.completedFuture(Reply.error(UNAVAILABLE, "Too many steps wait"));
            }
            results.add(result.get());
        }
        return CompletableFuture.allOf(results.toArray(new CompletableFuture<?>[0]))
                .thenApply(done -> Reply.ok(new EngineMessages.Results(
                        life, results.stream().map(CompletableFuture::join).toList())));
    }

    private void crashIfAsked(EngineMessages.Step step) {
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

    private Reply session(Call call) {
        String[] parts = call.path().substring(SESSIONS.length()).split("/", 2);
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

    private synchronized Reply order(EngineMessages.Order order) {
        if (options.checkTerms() && order.term() < newestTerm) {
            return Reply.of(CONFLICT, Map.of("newest", newestTerm));
        }
        newestTerm = Math.max(newestTerm, order.term());
        if (order.kind().equals("set-version")) {
            version = order.argument();
        }
        trace.add(new EngineMessages.Ordered(order.term(), order.kind(), order.argument(), clock.millis()));
        return Reply.of(ACCEPTED, Map.of());
    }

    private synchronized void sample() {
        ran.addLast(loop.ranInputs());
        if (ran.size() > SPEED_SAMPLES + 1) {
            ran.removeFirst();
        }
        double seconds = Math.max(1, ran.size() - 1) * SAMPLE_MILLIS / MILLIS_PER_SECOND;
        samples.addLast(loop.load((ran.getLast() - ran.getFirst()) / seconds));
        if (samples.size() > MAX_SAMPLES) {
            samples.removeFirst();
        }
    }

    private synchronized EngineMessages.Load shownLoad(long at) {
        EngineMessages.Load shown = samples.getFirst();
        for (EngineMessages.Load sample : samples) {
            if (sample.at() <= at) {
                shown = sample;
            }
        }
        return shown;
    }
}
