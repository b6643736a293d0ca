package org.cornelramp.gateway.follow;

import java.util.Optional;
import java.util.PriorityQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadFactory;
import java.util.function.Consumer;
import org.cornelramp.gateway.SteadyClock;

/**
 * Simulated time for code that blocks. Of the threads that it creates, one runs at a time, until it waits for a time or
 * for an answer; time then jumps to the next event. A run depends on nothing but its events. Confined to the thread of
 * the test, except for the threads that it creates itself.
 */
final class SimulatedTime {
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Semaphore idle = new Semaphore(0);
    private long nowMillis = 1_000_000;
    private long eventCount;

    private record Event(long millis, long number, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return millis == other.millis ? Long.compare(number, other.number) : Long.compare(millis, other.millis);
        }
    }

    /** Ends a thread whose machine has been killed. */
    private static final class Killed extends Error {
        private static final long serialVersionUID = 1L;
    }

    long millis() {
        return nowMillis;
    }

    void at(long millis, Runnable action) {
        events.add(new Event(Math.max(millis, nowMillis), eventCount++, action));
    }

    void after(long millis, Runnable action) {
        at(nowMillis + millis, action);
    }

    void runUntil(long millis) {
        while (!events.isEmpty() && events.peek().millis() <= millis) {
            Event next = events.poll();
            nowMillis = next.millis();
            next.action().run();
        }
        nowMillis = millis;
    }

    /** One life of a machine, with its threads and its steady clock, which stands still while it is suspended. */
    final class Machine implements SteadyClock {
        private final ThreadFactory threads = action -> new MachineThread(this, action);
        private long suspendedMillis;
        private long frozenUntilMillis;
        private boolean killed;

        ThreadFactory threads() {
            return threads;
        }

        @Override
        public long millis() {
            return nowMillis - suspendedMillis;
        }

        @Override
        public void pause(long millis) {
            MachineThread current = (MachineThread) Thread.currentThread();
            after(millis, current::proceed);
            current.block();
        }

        /** Stops all threads for some time; their timers expire at its end. */
        void freeze(long millis, boolean suspendsClock) {
            frozenUntilMillis = Math.max(frozenUntilMillis, nowMillis + millis);
            if (suspendsClock) {
                at(frozenUntilMillis, () -> suspendedMillis += millis);
            }
        }

        boolean isFrozen() {
            return nowMillis < frozenUntilMillis;
        }

        /** Runs an action now, or when the machine is no longer frozen; never if it has been killed. */
        void deliver(Runnable action) {
            if (isFrozen()) {
                at(frozenUntilMillis, () -> deliver(action));
            } else if (!killed) {
                action.run();
            }
        }

        void kill() {
            killed = true;
        }

        boolean isKilled() {
            return killed;
        }

        private void endWait(Wait<?> wait) {
            if (killed) {
                wait.end(Optional.empty()); // the thread wakes up and ends
            } else {
                deliver(() -> wait.end(Optional.empty()));
            }
        }

        /** Lets the current thread wait for an answer; empty if none has come in time. */
        <T> Optional<T> await(long timeoutMillis, Consumer<Consumer<T>> call) {
            MachineThread current = (MachineThread) Thread.currentThread();
            Wait<T> wait = new Wait<>(current);
            call.accept(answer -> deliver(() -> wait.end(Optional.of(answer))));
            after(timeoutMillis, () -> endWait(wait));
            current.block();
            return wait.answer;
        }
    }

    private static final class Wait<T> {
        private final MachineThread thread;
        private boolean ended;
        private Optional<T> answer = Optional.empty();

        Wait(MachineThread thread) {
            this.thread = thread;
        }

        void end(Optional<T> with) {
            if (!ended) {
                ended = true;
                answer = with;
                thread.proceed();
            }
        }
    }

    private final class MachineThread extends Thread {
        private final Machine machine;
        private final Runnable action;
        private final Semaphore turn = new Semaphore(0);

        MachineThread(Machine machine, Runnable action) {
            this.machine = machine;
            this.action = action;
        }

        @Override
        public synchronized void start() {
            setDaemon(true);
            super.start();
            after(0, this::proceed);
        }

        @Override
        public void run() {
            turn.acquireUninterruptibly();
            try {
                action.run();
            } catch (Killed e) {
                interrupt(); // the thread ends; nothing runs on it any more
            } finally {
                idle.release();
            }
        }

        /** Runs this thread until it waits again; called on the thread of the test. */
        void proceed() {
            if (machine.isFrozen()) {
                at(machine.frozenUntilMillis, this::proceed);
                return;
            }
            turn.release();
            idle.acquireUninterruptibly();
        }

        void block() {
            idle.release();
            turn.acquireUninterruptibly();
            if (machine.killed) {
                throw new Killed();
            }
        }
    }
}
