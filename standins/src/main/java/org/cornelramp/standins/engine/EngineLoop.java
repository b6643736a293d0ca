package org.cornelramp.standins.engine;

import java.time.Clock;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.LockSupport;
import org.cornelramp.core.model.LayerRange;
import org.cornelramp.standins.http.Faults;
import org.cornelramp.standins.http.Trace;

/**
 * Scheduler with continuous batching: each iteration runs some inputs of up to {@code slots} sessions, in the order of
 * priority (lowest number first) and arrival.
 *
 * <p>One thread runs the iterations; all state is guarded by this object's lock, so all methods are safe for use by any
 * thread. Invariant: a step waits for earlier steps of its own session.
 */
final class EngineLoop {
    /** Inputs of one step in one iteration; more only if the prefix cache saves all but the last of them. */
    private static final int MAX_CHUNK_INPUTS = 256;

    private static final int MAX_WAITING_STEPS = 8_192;
    private static final int CACHE_BLOCKS = 4_096;
    private static final long NANOS_PER_MICRO = 1_000;
    private static final long MAX_CATCH_UP_NANOS = 20_000_000;

    private final EngineOptions options;
    private final Faults faults;
    private final Trace trace;
    private final Clock clock;
    private final Sessions sessions;
    private final PrefixCache cache = new PrefixCache(CACHE_BLOCKS);
    private final PriorityQueue<StepTask> waiting = new PriorityQueue<>();
    private final Thread thread;
    private long nextSequence;
    private long processedInputs;
    private int running;
    private boolean stopped;
    private volatile boolean wasIdle;

    EngineLoop(EngineOptions options, Faults faults, Trace trace, Clock clock) {
        this.options = options;
        this.faults = faults;
        this.trace = trace;
        this.clock = clock;
        LayerRange layers = options.layers();
        this.sessions = new Sessions(layers.to() - layers.from(), options.kvLimit());
        this.thread = new Thread(this::runIterations, "iterations");
        thread.setDaemon(true);
    }

    void start() {
        thread.start();
    }

    synchronized void stop() {
        stopped = true;
        notifyAll();
    }

    /** Queues a step; empty if the queue is full. */
    synchronized Optional<CompletableFuture<EngineMessages.Result>> submit(EngineMessages.Step step) {
        if (waiting.size() >= MAX_WAITING_STEPS) {
            return Optional.empty();
        }
        StepTask task = new StepTask(step, nextSequence++);
        waiting.add(task);
        notifyAll();
        return Optional.of(task.result);
    }

    synchronized void cancel(String session) {
        sessions.drop(session);
        List<StepTask> cancelled = waiting.stream()
                .filter(task -> task.step.session().equals(session))
                .toList();
        waiting.removeAll(cancelled);
        cancelled.forEach(task -> fail(task, "cancelled"));
    }

    synchronized Optional<EngineMessages.Kv> exportKv(String session) {
        return sessions.export(session);
    }

    synchronized void importKv(String session, EngineMessages.Kv kv) {
        sessions.put(session, kv, clock.millis());
    }

    synchronized EngineMessages.CacheEvents cacheEvents(long from) {
        return cache.eventsFrom(from, clock.millis());
    }

    /** The current load; the caller computes the throughput from {@link #processedInputs}. */
    synchronized EngineMessages.Load load(double tokensPerSecond) {
        return new EngineMessages.Load(
                clock.millis(), running, waiting.size(), sessions.usedPositions(), options.kvLimit(), tokensPerSecond);
    }

    synchronized long processedInputs() {
        return processedInputs;
    }

    private void runIterations() {
        long endNanos = System.nanoTime();
        try {
            while (true) {
                List<StepTask> batch = nextBatch();
                if (batch.isEmpty()) {
                    return;
                }
                long now = System.nanoTime();
                // If this thread wakes up slightly late, the next iteration counts from the planned end of the last
                // one, so that the engine is not slower than its options state. An iteration after an idle
                // period starts when its work arrived.
                boolean catchesUp = !wasIdle && now - endNanos < MAX_CATCH_UP_NANOS;
                long start = catchesUp ? endNanos : now;
                endNanos = start + iterationNanos(batch);
                sleepUntil(endNanos);
                runBatch(batch);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void sleepUntil(long endNanos) {
        long remaining = endNanos - System.nanoTime();
        while (remaining > 0) {
            LockSupport.parkNanos(remaining);
            remaining = endNanos - System.nanoTime();
        }
    }

    private synchronized List<StepTask> nextBatch() throws InterruptedException {
        List<StepTask> batch = new ArrayList<>();
        wasIdle = false;
        while (!stopped) {
            fillBatch(batch);
            if (!batch.isEmpty()) {
                running = batch.size();
                return batch;
            }
            running = 0;
            wasIdle = true;
            wait();
        }
        return List.of();
    }

    private void fillBatch(List<StepTask> batch) {
        Set<String> batchSessions = new HashSet<>();
        List<StepTask> deferred = new ArrayList<>();
        while (batch.size() < options.slots() && !waiting.isEmpty()) {
            StepTask task = waiting.poll();
            if (!batchSessions.add(task.step.session())) {
                deferred.add(task);
            } else if (prepare(task)) {
                batch.add(task);
            }
        }
        waiting.addAll(deferred);
    }

    private boolean prepare(StepTask task) {
        if (task.isStarted()) {
            return true;
        }
        EngineMessages.Step step = task.step;
        Optional<String> error =
                sessions.prepare(step.session(), step.position(), step.inputs().length, clock.millis());
        if (error.isPresent()) {
            fail(task, error.get());
            return false;
        }
        task.start(step.position() == 0 ? cache.cachedInputs(step.inputs()) : 0);
        return true;
    }

    private long iterationNanos(List<StepTask> batch) {
        long inputs = batch.stream()
                .mapToLong(task -> task.uncachedInputs(MAX_CHUNK_INPUTS))
                .sum();
        double micros = options.baseMicros() + inputs * (double) options.inputMicros();
        return (long) (micros * faults.number("slow-factor", 1) * NANOS_PER_MICRO);
    }

    private void runBatch(List<StepTask> batch) {
        List<StepTask> completed = new ArrayList<>();
        synchronized (this) {
            for (StepTask task : batch) {
                runChunk(task);
                if (task.isDone()) {
                    completed.add(task);
                } else if (!task.result.isDone()) {
                    waiting.add(task);
                }
            }
        }
        completed.forEach(task -> task.result.complete(EngineMessages.Result.of(task.step.session(), task.outputs())));
    }

    private void runChunk(StepTask task) {
        EngineMessages.Step step = task.step;
        if (!sessions.has(step.session())) {
            fail(task, "cancelled");
            return;
        }
        LayerRange layers = options.layers();
        int count = task.nextChunkSize(MAX_CHUNK_INPUTS);
        trace.add(new EngineMessages.ChunkEvent(
                step.session(), step.epoch(), layers.from(), layers.to(), task.nextPosition(), count, clock.millis()));
        for (int i = 0; i < count; i++) {
            long output = sessions.run(step.session(), layers.from(), task.nextInput());
            task.addOutput(layers.isLast() ? ModelMath.token(output) : output);
        }
        processedInputs += count;
        if (task.isDone() && step.position() == 0) {
            cache.add(step.inputs(), clock.millis(), (long) faults.number("event-gap", 0));
        }
    }

    private static void fail(StepTask task, String error) {
        task.result.complete(EngineMessages.Result.error(task.step.session(), error));
    }
}
