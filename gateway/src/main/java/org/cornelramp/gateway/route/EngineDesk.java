package org.cornelramp.gateway.route;

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

/**
 * Asks engines and gives them orders on threads of its own, so that a silent engine holds up no decision. Safe for
 * use by any thread; what finds no place in its bounded queue is refused.
 */
public final class EngineDesk {
    /** A rack that dies is asked about at once, with two questions for each engine. */
    private static final int THREADS = 8;

    private static final int QUEUE = 256;

    /** Some twenty times an engine's usual time to answer, and little against the pause that a client notices. */
    private static final long QUICK_TIMEOUT_MILLIS = 60;

    private static final long QUICK_PAUSE_MILLIS = 250;

    /**
     * Time in which an engine that has answered is not asked quickly again. When an engine dies, all others of its streams'
     * paths are asked too; asked four times a second, they were most of the questions of a day with deaths.
     */
    private static final long ANSWERED_PAUSE_MILLIS = 1_000;

    /** Time after which an engine that was asked too soon may be asked again: what it had passed on has arrived by then. */
    private static final long TOO_SOON_MILLIS = 40;

    /** Time after which an engine that has not answered is asked a second time: ten times its usual one. */
    private static final long SECOND_MILLIS = 25;

    /** A question takes two turns of a late process: one to send it, one to read the answer. */
    private static final long LAG_FACTOR = 2;

    private final EngineControl control;
    private final ThreadPoolExecutor threads;
    private final Map<BackendServerId, Long> nextQuickMillis = new HashMap<>();

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
     * avoided for seconds; the second question goes out while the first still waits, so that it costs a part of the time
     * only. Asked at most once in a while; called by the router's duty only.
     *
     * @param lagMillis how late this process itself ran just now; an answer that came in time would be read so much later
     */
    void askQuickly(BackendServer engine, Consumer<RouterEvent> router, long lagMillis, long now) {
        nextQuickMillis.values().removeIf(next -> now >= next);
        long timeout = QUICK_TIMEOUT_MILLIS + LAG_FACTOR * lagMillis;
        if (nextQuickMillis.putIfAbsent(engine.id(), now + QUICK_PAUSE_MILLIS) == null) {
            TwoQuestions both = new TwoQuestions(report -> router.accept(new RouterEvent.Reported(engine, report)));
            submit(() -> both.ended(control.report(engine, timeout)));
            submit(() -> {
                if (!both.isSettledWithin(SECOND_MILLIS)) {
                    both.ended(control.report(engine, timeout));
                }
            });
        }
    }

    /** Notes that an engine has answered: streams that stay silent wait for another one. Called by the router's duty only. */
    void answered(BackendServerId engine, long now) {
        nextQuickMillis.put(engine, now + ANSWERED_PAUSE_MILLIS);
    }

    /**
     * Notes that a question was asked before the events of a dead engine had run out, so that its silence said nothing.
     * It may be asked again at once; with the usual pause all its streams here would wait for that. Called by the router's
     * duty only.
     */
    void askedTooSoon(BackendServer engine, long now) {
        nextQuickMillis.put(engine.id(), now + TOO_SOON_MILLIS);
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
