package org.cornelramp.daemon.agent;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cornelramp.core.model.LayerRange;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.ports.BackendOffer;
import org.cornelramp.ports.CacheEvents;
import org.cornelramp.ports.EngineClient;
import org.cornelramp.ports.EngineKv;
import org.cornelramp.ports.EngineLoad;
import org.cornelramp.ports.EngineOrder;
import org.cornelramp.ports.EngineStep;
import org.cornelramp.ports.EngineStepResult;
import org.cornelramp.ports.EngineStepResults;
import org.cornelramp.ports.PlatformException;

/**
 * An in-memory engine. The output of a layer depends on its input and on all earlier positions, so a step that is
 * skipped, repeated or out of order changes the tokens. Safe for use by any thread.
 */
final class FakeEngine implements EngineClient {
    private static final long VOCABULARY = 1_000;

    final List<String> trace = new ArrayList<>();
    final List<EngineOrder> orders = new ArrayList<>();
    private final LayerRange layers;
    private final Map<String, long[]> states = new HashMap<>();
    private final Map<String, Integer> positions = new HashMap<>();
    private String incarnation = "life-1";
    private boolean down;
    private boolean silent;
    private CompletableFuture<EngineStepResults> unansweredReply;
    private List<EngineStep> unansweredSteps;

    FakeEngine(int from, int to, int total) {
        layers = new LayerRange(from, to, total);
    }

    /** Restarts the engine with a new incarnation and an empty cache. */
    synchronized void restart() {
        incarnation = incarnation + "+";
        states.clear();
        positions.clear();
    }

    synchronized void setDown(boolean value) {
        down = value;
    }

    /** Sets whether batches of steps stay unanswered. */
    synchronized void setSilent(boolean value) {
        silent = value;
    }

    @Override
    public synchronized CompletableFuture<BackendOffer> offer() {
        return down
                ? refused()
                : CompletableFuture.completedFuture(
                        new BackendOffer(new ServiceName("model"), Optional.of(layers), "1", "fast", 8, incarnation));
    }

    @Override
    public CompletableFuture<EngineLoad> load() {
        return CompletableFuture.completedFuture(new EngineLoad(0, 0, 0, 0, 0, 0));
    }

    @Override
    public synchronized CompletableFuture<EngineStepResults> steps(List<EngineStep> steps) {
        if (down) {
            return refused();
        }
        if (silent) {
            unansweredReply = new CompletableFuture<>();
            unansweredSteps = steps;
            return unansweredReply;
        }
        return CompletableFuture.completedFuture(runAll(steps));
    }

    /** Answers the last unanswered batch. */
    synchronized void answerLate() {
        unansweredReply.complete(runAll(unansweredSteps));
    }

    private EngineStepResults runAll(List<EngineStep> steps) {
        List<EngineStepResult> results = new ArrayList<>();
        steps.forEach(step -> results.add(run(step)));
        return new EngineStepResults(incarnation, results);
    }

    private static <T> CompletableFuture<T> refused() {
        return CompletableFuture.failedFuture(new PlatformException(PlatformException.Kind.NOT_SENT, "refused", 0));
    }

    private EngineStepResult run(EngineStep step) {
        int next = positions.getOrDefault(step.session(), 0);
        if (next == 0 && step.position() > 0) {
            return new EngineStepResult(step.session(), Optional.empty(), Optional.of("no-session"));
        }
        if (next != step.position()) {
            return new EngineStepResult(step.session(), Optional.empty(), Optional.of("gap"));
        }
        long[] state = states.computeIfAbsent(step.session(), s -> new long[layers.to() - layers.from()]);
        long[] outputs = new long[step.inputs().length];
        for (int i = 0; i < outputs.length; i++) {
            outputs[i] = applyLayers(state, step.inputs()[i]);
            trace.add(step.session() + " " + (step.position() + i));
        }
        positions.put(step.session(), next + outputs.length);
        return new EngineStepResult(step.session(), Optional.of(outputs), Optional.empty());
    }

    private long applyLayers(long[] state, long input) {
        long value = input;
        for (int i = 0; i < state.length; i++) {
            state[i] = state[i] * 31 + value * 17 + layers.from() + i + 1;
            value = state[i];
        }
        return layers.isLast() ? 1 + Math.floorMod(value, VOCABULARY) : value;
    }

    @Override
    public synchronized CompletableFuture<Void> cancel(long session) {
        states.remove(java.util.HexFormat.of().toHexDigits(session));
        positions.remove(java.util.HexFormat.of().toHexDigits(session));
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public synchronized CompletableFuture<EngineKv> exportKv(long session) {
        String name = java.util.HexFormat.of().toHexDigits(session);
        return CompletableFuture.completedFuture(
                new EngineKv(positions.getOrDefault(name, 0), states.get(name).clone()));
    }

    @Override
    public synchronized CompletableFuture<Void> importKv(long session, EngineKv kv) {
        String name = java.util.HexFormat.of().toHexDigits(session);
        states.put(name, kv.layers().clone());
        positions.put(name, kv.position());
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public synchronized CompletableFuture<Void> order(EngineOrder order) {
        orders.add(order);
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<CacheEvents> cacheEvents(long from) {
        return CompletableFuture.completedFuture(new CacheEvents(from, List.of()));
    }

    /** The sessions and positions that ran, in order. */
    synchronized List<String> trace() {
        return List.copyOf(trace);
    }
}
