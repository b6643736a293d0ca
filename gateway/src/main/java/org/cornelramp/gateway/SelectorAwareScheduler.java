package org.cornelramp.gateway;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.atomic.LongAdder;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.util.component.AbstractLifeCycle;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Runs timers of a selector's connects only after the selector has had a turn since they were due.
 *
 * <p>In a process short of processor time, a connect that the other side took long ago may still wait for the selector when
 * its timer goes off. The turn finishes such a connect and cancels its timer. A connect that was not taken is given up one
 * turn later than by a timer alone. Safe for use by any thread; {@link #attach} is called before the first timer.
 */
final class TurnAwareScheduler extends AbstractLifeCycle implements Scheduler {
    private final Scheduler timers;
    private final LongAdder late = new LongAdder();
    private volatile ManagedSelector selector;

    /** @param timers tells when a timer is due; started and stopped by its owner */
    TurnAwareScheduler(Scheduler timers) {
        this.timers = timers;
    }

    /** Sets the selector whose turns are waited for. */
    void attach(ManagedSelector own) {
        selector = own;
    }

    /** Timers that were cancelled by the selector's turn after they were due. */
    long late() {
        return late.sum();
    }

    @Override
    public Task schedule(Runnable task, long delay, TimeUnit unit) {
        Timer timer = new Timer(task);
        timers.schedule(timer::due, delay, unit);
        return timer;
    }

    /** Runs a task on the selector's thread after it has looked at all its channels once more. */
    private void afterTurn(Runnable task) {
        selector.submit(begins -> selector.submit(ends -> task.run()));
    }

    private enum State {
        WAITING,
        DUE,
        CANCELLED,
        RUN
    }

    /** One timer. Safe for use by any thread. Invariant: it is either cancelled or run. */
    private final class Timer implements Task {
        private final Runnable task;
        private final AtomicReference<State> state = new AtomicReference<>(State.WAITING);

        Timer(Runnable task) {
            this.task = task;
        }

        private void due() {
            if (state.compareAndSet(State.WAITING, State.DUE)) {
                afterTurn(this::run);
            }
        }

        private void run() {
            if (state.compareAndSet(State.DUE, State.RUN)) {
                task.run();
            }
        }

        @Override
        public boolean cancel() {
            if (state.compareAndSet(State.WAITING, State.CANCELLED)) {
                return true;
            }
            boolean inTime = state.compareAndSet(State.DUE, State.CANCELLED);
            if (inTime) {
                late.increment();
            }
            return inTime;
        }
    }
}
