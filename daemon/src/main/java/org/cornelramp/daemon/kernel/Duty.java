package org.cornelramp.daemon.kernel;

import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.jctools.queues.MpscArrayQueue;

/**
 * One thread with one bounded ring before it. The state that the handler touches belongs to this thread alone.
 *
 * <p>{@link #offer} may be called by any thread and never blocks: a full ring refuses the event, and the one who
 * offered it must refuse its own work in turn. Without that bound a stalled duty would let the queue grow until
 * the process dies with all requests in it.
 *
 * @param <E> type of the events
 */
public final class Duty<E> implements Component {
    private static final System.Logger LOG = System.getLogger(Duty.class.getName());
    private static final int SPINS = 64;

    private final String name;
    private final MpscArrayQueue<E> ring;
    private final Consumer<E> handler;
    private final Runnable tick;
    private final long tickNanos;
    private final Thread thread;
    private volatile boolean running = true;
    private volatile boolean parked;

    /**
     * @param name name of the thread
     * @param slots events that the ring holds
     * @param handler handles each event, on this duty's thread
     * @param tick called about every {@code tickMillis}, on this duty's thread
     * @param tickMillis interval of the tick, in milliseconds
     */
    public Duty(String name, int slots, Consumer<E> handler, Runnable tick, long tickMillis) {
        this.name = name;
        this.ring = new MpscArrayQueue<>(slots);
        this.handler = handler;
        this.tick = tick;
        this.tickNanos = tickMillis * 1_000_000L;
        this.thread = new Thread(this::run, name);
    }

    /** Hands an event to this duty; false when the ring is full. */
    public boolean offer(E event) {
        if (!ring.offer(event)) {
            return false;
        }
        if (parked) {
            LockSupport.unpark(thread);
        }
        return true;
    }

    /** Events that wait in the ring now. */
    public int waiting() {
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
        long nextTick = System.nanoTime() + tickNanos;
        while (running) {
            E event = poll(nextTick);
            if (event != null) {
                guard(() -> handler.accept(event));
            }
            long now = System.nanoTime();
            if (now - nextTick >= 0) {
                guard(tick);
                nextTick = now + tickNanos;
            }
        }
    }

    private E poll(long nextTick) {
        E event = ring.poll();
        for (int i = 0; event == null && i < SPINS; i++) {
            Thread.onSpinWait();
            event = ring.poll();
        }
        if (event != null) {
            return event;
        }
        parked = true;
        event = ring.poll();
        long wait = nextTick - System.nanoTime();
        if (event == null && wait > 0) {
            LockSupport.parkNanos(this, wait);
            event = ring.poll();
        }
        parked = false;
        return event;
    }

    /** A fault in one event must not end the thread, which would stall every request behind it. */
    private void guard(Runnable work) {
        try {
            work.run();
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "kernel: a duty failed on one event, it goes on; duty=" + name, e);
        }
    }
}
