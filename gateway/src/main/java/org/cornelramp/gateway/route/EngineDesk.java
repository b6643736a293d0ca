package org.cornelramp.gateway.route;

import io.vavr.control.Either;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.path.StagePath;
import org.cornelramp.gateway.request.Attempt;
import org.cornelramp.platform.EngineControl;
import org.cornelramp.platform.EngineReport;
import org.cornelramp.platform.StoreFault;

/**
 * Asks engines and gives them orders on threads of its own, so that a silent engine holds up no decision. Safe for
 * use by any thread; what finds no place in its bounded queue is refused.
 */
public final class EngineDesk {
    private static final int THREADS = 8;
    private static final int QUEUE = 256;

    /** Some ten times an engine's usual time to answer, and little against the pause that a client notices. */
    private static final long QUICK_TIMEOUT_MILLIS = 30;

    private static final long QUICK_PAUSE_MILLIS = 250;

    /** A question takes two turns of a late process: one to send it, one to read the answer. */
    private static final long LAG_FACTOR = 2;

    /** A pace is believed for 4 s; asked four times in that, it follows an engine and costs little. */
    private static final long PACE_PAUSE_MILLIS = 1_000;

    private final EngineControl control;
    private final ThreadPoolExecutor threads;
    private final Map<BackendServerId, Long> asked = new HashMap<>();
    private final Map<BackendServerId, Long> paceAsked = new HashMap<>();

    public EngineDesk(EngineControl control) {
        this.control = control;
        this.threads =
                new ThreadPoolExecutor(THREADS, THREADS, 5, TimeUnit.SECONDS, new ArrayBlockingQueue<>(QUEUE), task -> {
                    Thread thread = new Thread(task, "engines");
                    thread.setDaemon(true);
                    return thread;
                });
        threads.allowCoreThreadTimeOut(true);
    }

    /**
     * Asks an engine that may be dead, and takes a short silence for death: an engine answers within some
     * milliseconds, and the streams that wait for a dead one can still go on elsewhere unnoticed. It is asked twice at
     * once, as one in twenty questions over a link that loses packets gets no answer in time, and a living engine would
     * be avoided for seconds; one after the other took half of the pause that a client notices. Asked at most once in a while; called by the router's duty only.
     *
     * @param lagMillis how late this process itself was of late; an answer that came in time would be read so much later
     */
    void askQuickly(BackendServer engine, Consumer<RouterEvent> router, long lagMillis, long now) {
        asked.values().removeIf(at -> now - at > QUICK_PAUSE_MILLIS);
        long timeout = QUICK_TIMEOUT_MILLIS + LAG_FACTOR * lagMillis;
        if (asked.putIfAbsent(engine.id(), now) == null) {
            Consumer<Either<StoreFault, EngineReport>> told =
                    new FirstAnswer(report -> router.accept(new RouterEvent.Reported(engine, report)));
            Runnable question = () -> told.accept(control.report(engine, timeout));
            if (submit(question)) {
                submit(question); // without a second place the engine is asked again at the next look
            }
        }
    }

    /**
     * Passes on the first answer of two questions, or the second fault. Safe for use by any thread. Invariant: one result
     * is passed on at most; a question that could not be asked is no fault.
     */
    private static final class FirstAnswer implements Consumer<Either<StoreFault, EngineReport>> {
        private final Consumer<Either<StoreFault, EngineReport>> then;
        private int faults;
        private boolean answered;

        FirstAnswer(Consumer<Either<StoreFault, EngineReport>> then) {
            this.then = then;
        }

        @Override
        public synchronized void accept(Either<StoreFault, EngineReport> result) {
            faults += result.isLeft() ? 1 : 0;
            if (!answered && (result.isRight() || faults == 2)) {
                answered = true;
                then.accept(result);
            }
        }
    }

    /** Asks an engine that may be slow for its pace, at most once in a while; called by the router's duty only. */
    void askPace(BackendServer engine, Consumer<RouterEvent> router, long now) {
        paceAsked.values().removeIf(at -> now - at > PACE_PAUSE_MILLIS);
        if (paceAsked.putIfAbsent(engine.id(), now) == null) {
            submit(() -> control.report(engine)
                    .peek(report -> router.accept(new RouterEvent.Reported(engine, Either.right(report)))));
        }
    }

    /** Asks an engine for its report; false if too many calls wait. */
    boolean ask(BackendServer engine, Consumer<RouterEvent> router) {
        return submit(() -> router.accept(new RouterEvent.Reported(engine, control.report(engine))));
    }

    /** Orders an engine to move a running request; false if too many calls wait. */
    boolean move(Attempt attempt, StagePath path, Consumer<RouterEvent> router) {
        String id = attempt.exchange().call().id();
        return submit(
                () -> router.accept(new RouterEvent.Moved(attempt, path, control.repath(attempt.server(), id, path))));
    }

    private boolean submit(Runnable call) {
        try {
            threads.execute(call);
            return true;
        } catch (RejectedExecutionException e) {
            return false; // the caller tries again at its next tick
        }
    }
}
