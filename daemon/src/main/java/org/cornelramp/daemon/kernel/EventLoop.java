package org.cornelramp.daemon.kernel;

import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.jctools.queues.MpscArrayQueue;

/**
 * An event loop: one thread that handles the events of one bounded queue, a ring buffer. The state that the handler
 * uses is confined to this thread.
 *
 * <p>{@link #offer} may be called by any thread and never blocks: if the queue is full, it refuses the event, and the
 * caller must refuse its own work in turn. Without the bound, the queue of a stalled loop would grow until the process
 * runs out of memory and loses all requests in it.
 *
 * @param <E> type of the events
 */
public final class EventLoop<E> implements Component {
    private static final System.Logger LOG = System.getLogger(EventLoop.class.getName());
    private static final int SPIN_LIMIT = 64;

    private final String name;
    private final MpscArrayQueue<E> ring;
    private final Consumer<E> handler;
    private final Runnable tick;
    private final long tickNanos;
    private final Thread thread;
    private volatile boolean running = true;
    private volatile boolean idle;
    private long nextTick;

    /**
     * @param name name of the thread
     * @param slots capacity of the queue
     * @param handler handles each event, on the thread of this loop
     * @param tick called about every {@code tickMillis}, on the thread of this loop
     * @param tickMillis interval of the tick, in milliseconds
     */
    public EventLoop(String name, int slots, Consumer<E> handler, Runnable tick, long tickMillis) {
        this.name = name;
        this.ring = new MpscArrayQueue<>(slots);
        this.handler = handler;
        this.tick = tick;
        this.tickNanos = tickMillis * 1_000_000L;
        this.thread = new Thread(this::run, name);
    }

    /** Enqueues an event; returns false if the queue is full. */
    public boolean offer(E event) {
        if (!ring.offer(event)) {
            return false;
        }
        if (idle) {
            LockSupport.unpark(thread);
        }
        return true;
    }

    /** Returns the number of queued events. */
    public int queueSize() {
        return ring.size();
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public void start() {
        thread.start();
    }

    @Override
    public void stop() {
        running = false;
        LockSupport.unpark(thread);
        try {
            thread.join(2_000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void run() {
        nextTick = System.nanoTime() + tickNanos;
        Runnable step = this::step;
        Consumer<Throwable> onFailure = this::logFailure;
        while (running) {
            StepGuard.run(step, onFailure);
        }
    }

    /** Handles one event, if there is any, and makes the tick if it is due; neither keeps the other from being made. */
    private void step() {
        E event = awaitEvent(nextTick);
        try {
            if (event != null) {
                handler.accept(event);
            }
        } finally {
            tickIfDue();
        }
    }

    private void tickIfDue() {
        long now = System.nanoTime();
        if (now - nextTick >= 0) {
            nextTick = now + tickNanos;
            tick.run();
        }
    }

    private E awaitEvent(long nextTick) {
        E event = ring.poll();
        for (int i = 0; event == null && i < SPIN_LIMIT; i++) {
            Thread.onSpinWait();
            event = ring.poll();
        }
        if (event != null) {
            return event;
        }
        idle = true;
        event = ring.poll();
        long wait = nextTick - System.nanoTime();
        if (event == null && wait > 0) {
            LockSupport.parkNanos(this, wait);
            event = ring.poll();
        }
        idle = false;
        return event;
    }

    private void logFailure(Throwable failure) {
        LOG.log(
                System.Logger.Level.ERROR,
                "kernel: the handler of one event failed, the loop continues; duty=" + name,
                failure);
    }
}
