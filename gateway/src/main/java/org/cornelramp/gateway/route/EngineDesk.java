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
    private static final int THREADS = 3;
    private static final int QUEUE = 256;

    /** Some twenty times an engine's usual time to answer, and little against the pause that a client notices. */
    private static final long QUICK_TIMEOUT_MILLIS = 60;

    private static final long QUICK_PAUSE_MILLIS = 250;

    /** A question takes two turns of a late process: one to send it, one to read the answer. */
    private static final long LAG_FACTOR = 2;

    private final EngineControl control;
    private final ThreadPoolExecutor threads;
    private final Map<BackendServerId, Long> asked = new HashMap<>();

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
     * milliseconds, and the streams that wait for a dead one can still go on elsewhere unnoticed. It is asked twice, as
     * one in twenty questions over a link that loses packets gets no answer in time, and a living engine would be
     * avoided for seconds. With 30 ms for each question, and both at once, living engines were taken for dead on days
     * without any fault there. Asked at most once in a while; called by the router's duty only.
     *
     * @param lagMillis how late this process itself was of late; an answer that came in time would be read so much later
     */
    void askQuickly(BackendServer engine, Consumer<RouterEvent> router, long lagMillis, long now) {
        asked.values().removeIf(at -> now - at > QUICK_PAUSE_MILLIS);
        long timeout = QUICK_TIMEOUT_MILLIS + LAG_FACTOR * lagMillis;
        if (asked.putIfAbsent(engine.id(), now) == null) {
            submit(() -> router.accept(new RouterEvent.Reported(engine, reportQuickly(engine, timeout))));
        }
    }

    private Either<StoreFault, EngineReport> reportQuickly(BackendServer engine, long timeoutMillis) {
        Either<StoreFault, EngineReport> first = control.report(engine, timeoutMillis);
        return first.isRight() ? first : control.report(engine, timeoutMillis);
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
