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
 * Batches continuously: each iteration runs some inputs of up to {@code slots} sessions, first priorities first.
 *
 * <p>One thread runs the iterations; all state is under this object's lock, so all methods are safe for use by any
 * thread. Invariant: a step waits for earlier steps of its own session.
 */
final class EngineLoop {
    /** Inputs of one step in one iteration. */
    private static final int CHUNK = 256;

    private static final int MAX_WAITING = 8_192;
    private static final int CACHE_BLOCKS = 4_096;
    private static final long NANOS_PER_MICRO = 1_000;
    private static final long CATCH_UP_NANOS = 20_000_000;

    private final EngineOptions options;
    private final Faults faults;
    private final Trace trace;
    private final Clock clock;
    private final Sessions sessions;
    private final PrefixCache cache = new PrefixCache(CACHE_BLOCKS);
    private final PriorityQueue<StepTask> waiting = new PriorityQueue<>();
    private final Thread thread;
    private long seq;
    private long ranInputs;
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
        this.thread = new Thread(this::loop, "iterations");
        thread.setDaemon(true);
    }

    void start() {
        thread.start();
    }

    synchronized void stop() {
        stopped = true;
        notifyAll();
    }

    /** Takes a step; empty when too many wait. */
    synchronized Optional<CompletableFuture<EngineMessages.Result>> submit(EngineMessages.Step step) {
        if (waiting.size() >= MAX_WAITING) {
            return Optional.empty();
        }
        StepTask task = new StepTask(step, seq++);
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

    /** The load at this moment; the speed is the caller's to fill in from {@link #ranInputs}. */
    synchronized EngineMessages.Load load(double tokensPerSecond) {
        return new EngineMessages.Load(
                clock.millis(), running, waiting.size(), sessions.used(), options.kvLimit(), tokensPerSecond);
    }

    synchronized long ranInputs() {
        return ranInputs;
    }

    private void loop() {
        long due = System.nanoTime();
        try {
            while (true) {
                List<StepTask> batch = nextBatch();
                if (batch.isEmpty()) {
                    return;
                }
                long now = System.nanoTime();
                // A late wake-up of this thread must not make the engine slower than its options say; an iteration
                // after an idle time starts when its work came.
                boolean late = !wasIdle && now - due < CATCH_UP_NANOS;
                long start = late ? due : now;
                due = start + cost(batch);
                sleepUntil(due);
                finish(batch);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void sleepUntil(long due) {
        long left = due - System.nanoTime();
        while (left > 0) {
            LockSupport.parkNanos(left);
            left = due - System.nanoTime();
        }
    }

    private synchronized List<StepTask> nextBatch() throws InterruptedException {
        List<StepTask> batch = new ArrayList<>();
        wasIdle = false;
        while (!stopped) {
            takeBatch(batch);
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

    private void takeBatch(List<StepTask> batch) {
        Set<String> taken = new HashSet<>();
        List<StepTask> later = new ArrayList<>();
        while (batch.size() < options.slots() && !waiting.isEmpty()) {
            StepTask task = waiting.poll();
            if (!taken.add(task.step.session())) {
                later.add(task);
            } else if (prepare(task)) {
                batch.add(task);
            }
        }
        waiting.addAll(later);
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
        task.start(step.position() == 0 ? cache.cached(step.inputs()) : 0);
        return true;
    }

    private long cost(List<StepTask> batch) {
        long inputs = batch.stream().mapToLong(task -> task.costly(CHUNK)).sum();
        double micros = options.baseMicros() + inputs * (double) options.inputMicros();
        return (long) (micros * faults.number("slow-factor", 1) * NANOS_PER_MICRO);
    }

    private void finish(List<StepTask> batch) {
        List<StepTask> done = new ArrayList<>();
        synchronized (this) {
            for (StepTask task : batch) {
                runChunk(task);
                if (task.isDone()) {
                    done.add(task);
                } else if (!task.result.isDone()) {
                    waiting.add(task);
                }
            }
        }
        done.forEach(task -> task.result.complete(EngineMessages.Result.of(task.step.session(), task.outputs())));
    }

    private void runChunk(StepTask task) {
        EngineMessages.Step step = task.step;
        if (!sessions.has(step.session())) {
            fail(task, "cancelled");
            return;
        }
        LayerRange layers = options.layers();
        int count = task.nextInputs(CHUNK);
        trace.add(new EngineMessages.Ran(
                step.session(), step.epoch(), layers.from(), layers.to(), task.nextPosition(), count, clock.millis()));
        for (int i = 0; i < count; i++) {
            long output = sessions.run(step.session(), layers.from(), task.nextInput());
            task.add(layers.isLast() ? ModelMath.token(output) : output);
        }
        ranInputs += count;
        if (task.isDone() && step.position() == 0) {
            cache.add(step.inputs(), clock.millis(), (long) faults.number("event-gap", 0));
        }
    }

    private static void fail(StepTask task, String error) {
        task.result.complete(EngineMessages.Result.error(task.step.session(), error));
    }
}
