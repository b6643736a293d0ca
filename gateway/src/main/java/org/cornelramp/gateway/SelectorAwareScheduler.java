package org.cornelramp.gateway;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.atomic.LongAdder;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.util.component.AbstractLifeCycle;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A scheduler for connect timeouts that runs an expired timer only after the selector has completed one more pass over
 * its channels.
 *
 * <p>In a process that is short of processor time, a connect that the peer accepted long ago may still wait for the
 * selector when its timer expires. The additional pass finishes such a connect and cancels its timer. A connect that
 * was not accepted times out one pass later than with a plain timer. Safe for use by any thread; {@link #attach} must
 * be called before the first timer is scheduled.
 */
final class SelectorAwareScheduler extends AbstractLifeCycle implements Scheduler {
    private final Scheduler timers;
    private final LongAdder cancelledLate = new LongAdder();
    private volatile ManagedSelector selector;

    /** @param timers the underlying scheduler; started and stopped by its owner */
    SelectorAwareScheduler(Scheduler timers) {
        this.timers = timers;
    }

    /** Sets the selector whose passes expired timers wait for. */
    void attach(ManagedSelector connectSelector) {
        selector = connectSelector;
    }

    /** Number of timers that were cancelled after they had expired, during the additional pass. */
    long cancelledLate() {
        return cancelledLate.sum();
    }

    @Override
    public Task schedule(Runnable task, long delay, TimeUnit unit) {
        Timer timer = new Timer(task);
        timers.schedule(timer::expire, delay, unit);
        return timer;
    }

    /** Runs a task on the selector's thread after a further pass over all its channels. */
    private void afterNextPass(Runnable task) {
        selector.submit(firstPass -> selector.submit(secondPass -> task.run()));
    }

    private enum State {
        WAITING,
        EXPIRED,
        CANCELLED,
        RUN
    }

    /** One timer. Safe for use by any thread. Invariant: it is either cancelled or run, never both. */
    private final class Timer implements Task {
        private final Runnable task;
        private final AtomicReference<State> state = new AtomicReference<>(State.WAITING);

        Timer(Runnable task) {
            this.task = task;
        }

        private void expire() {
            if (state.compareAndSet(State.WAITING, State.EXPIRED)) {
                afterNextPass(this::run);
            }
        }

        private void run() {
            if (state.compareAndSet(State.EXPIRED, State.RUN)) {
                task.run();
            }
        }

        @Override
        public boolean cancel() {
            if (state.compareAndSet(State.WAITING, State.CANCELLED)) {
                return true;
            }
            boolean cancelledInTime = state.compareAndSet(State.EXPIRED, State.CANCELLED);
            if (cancelledInTime) {
                cancelledLate.increment();
            }
            return cancelledInTime;
        }
    }
}
