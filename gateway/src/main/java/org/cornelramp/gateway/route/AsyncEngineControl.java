package org.cornelramp.gateway.route;

import io.vavr.control.Either;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.path.StagePath;
import org.cornelramp.gateway.request.Attempt;
import org.cornelramp.platform.EngineCalls;
import org.cornelramp.platform.EngineReport;
import org.cornelramp.platform.MoveFault;
import org.cornelramp.platform.PlatformFault;

/**
 * Calls engines on its own threads, so that an engine that does not answer never blocks the router's thread. Calls that
 * do not fit into the bounded queue are refused. Safe for use by any thread, except where a method says otherwise.
 *
 * <p>Invariant: each accepted call reports a result, also if it throws an exception. The router may still lose the
 * result when its own queue is full.
 */
public final class AsyncEngineControl {
    /** Stands for the time of the last event where no event has passed an engine. */
    static final long NO_EVENT = Long.MIN_VALUE;

    /** Enough to probe all engines of a failed rack at the same time, with two calls for each engine. */
    private static final int THREADS = 8;

    private static final int QUEUE_CAPACITY = 256;

    /** About 20 times an engine's usual time to answer, and short compared to the pause that a client notices. */
    private static final long PROBE_TIMEOUT_MILLIS = 60;

    private static final long PROBE_PAUSE_MILLIS = 250;

    /** Time that an engine has to give a sign of life. */
    private static final long ENGINE_LIFE_TIMEOUT_MILLIS = 150;

    /** The same for a plain server, which may answer only when a slot is free. */
    private static final long PLAIN_LIFE_TIMEOUT_MILLIS = 600;

    private static final long CHECK_PAUSE_MILLIS = 100;

    /**
     * Time for which an engine that has answered is not probed again for streams that were silent already then. When an
     * engine dies, all other engines on the paths of its streams are probed too; probed four times a second, they took
     * most of the probes in a run with engine failures.
     */
    private static final long ANSWERED_PAUSE_MILLIS = 1_000;

    /**
     * Time after which an engine that was probed too early may be probed again: the events that it had forwarded have
     * arrived by then.
     */
    private static final long INCONCLUSIVE_PAUSE_MILLIS = 40;

    /**
     * Time without an answer after which the second call of a probe is sent: ten times an engine's usual time to
     * answer.
     */
    private static final long SECOND_CALL_MILLIS = 25;

    /** A call is delayed twice by a late process: when it is sent and when the answer is read. */
    private static final long LAG_FACTOR = 2;

    private final EngineCalls calls;
    private final Executor threads;
    private final Executor lifeThreads;
    private final Map<BackendServerId, ProbePause> pauses = new HashMap<>();
    private final Map<BackendServerId, Long> checkPauses = new HashMap<>();

    /**
     * When an engine may be probed again. Immutable.
     *
     * @param untilMillis end of the pause
     * @param answeredMillis when the engine answered; its answer says nothing about streams that fall silent later
     * @param untilIfSilentSinceMillis end of the pause for streams that fell silent after the answer
     */
    private record ProbePause(long untilMillis, long answeredMillis, long untilIfSilentSinceMillis) {
        static ProbePause until(long millis) {
            return new ProbePause(millis, Long.MAX_VALUE, millis);
        }

        static ProbePause answered(long nowMillis) {
            return new ProbePause(nowMillis + ANSWERED_PAUSE_MILLIS, nowMillis, nowMillis + PROBE_PAUSE_MILLIS);
        }

        boolean allows(long silentSinceMillis, long nowMillis) {
            return nowMillis >= (silentSinceMillis > answeredMillis ? untilIfSilentSinceMillis : untilMillis);
        }
    }

    /**
     * @param calls blocking calls to engines
     * @param threads run the calls; may reject them
     * @param lifeThreads run the questions for signs of life; may reject them
     */
    AsyncEngineControl(EngineCalls calls, Executor threads, Executor lifeThreads) {
        this.calls = calls;
        this.threads = threads;
        this.lifeThreads = lifeThreads;
    }

    /** Makes the calls on threads of its own. */
    public static AsyncEngineControl withOwnThreads(EngineCalls calls) {
        return new AsyncEngineControl(calls, pool("engines"), pool("life"));
    }

    private static Executor pool(String name) {
        ThreadPoolExecutor pool = new ThreadPoolExecutor(
                THREADS, THREADS, 5, TimeUnit.SECONDS, new ArrayBlockingQueue<>(QUEUE_CAPACITY), task -> {
                    Thread thread = new Thread(task, name);
                    thread.setDaemon(true);
                    return thread;
                });
        pool.allowCoreThreadTimeOut(true);
        return pool;
    }

    /**
     * Probes an engine that may be dead, with a short timeout: a living engine answers within some milliseconds, and
     * the streams of a dead one can then continue elsewhere before their clients notice. A probe consists of two calls,
     * since one call in 20 over a link that loses packets gets no answer in time, and a living engine would be avoided
     * for seconds. The second call is sent while the first is still pending, so that it adds only a part of the
     * timeout. Repeated probes of one engine within a short time are skipped. Called by the router's thread only.
     *
     * @param lagMillis recent scheduling delay of this process, by which an answer may be read later
     * @param silentSinceMillis when the last event passed the engine; {@link #NO_EVENT} if none has, or if the probe has
     *     another reason than silence
     */
    void probe(BackendServer engine, Consumer<RouterEvent> router, long lagMillis, long silentSinceMillis, long now) {
        pauses.values().removeIf(pause -> now >= pause.untilMillis());
        long timeout = PROBE_TIMEOUT_MILLIS + LAG_FACTOR * lagMillis;
        ProbePause pause = pauses.get(engine.id());
        if (pause == null || pause.allows(silentSinceMillis, now)) {
            pauses.put(engine.id(), ProbePause.until(now + PROBE_PAUSE_MILLIS));
            ProbePair probe =
                    new ProbePair(report -> router.accept(new RouterEvent.EngineReportResult(engine, report)));
            submit(() -> probe.handleCallEnd(report(engine, timeout)));
            submit(() -> {
                if (!probe.awaitResult(SECOND_CALL_MILLIS)) {
                    probe.handleCallEnd(report(engine, timeout));
                }
            });
        }
    }

    /**
     * Records that an engine has answered, so it is not the cause of streams that stay silent. Called by the router's
     * thread only.
     */
    void recordAnswer(BackendServerId engine, long now) {
        pauses.put(engine, ProbePause.answered(now));
    }

    /**
     * Records that a probe failed while events forwarded by the engine were still arriving, so its result is not
     * conclusive. The engine may be probed again soon; with the usual pause all its streams here would wait that long.
     * Called by the router's thread only.
     */
    void recordInconclusiveProbe(BackendServer engine, long now) {
        pauses.put(engine.id(), ProbePause.until(now + INCONCLUSIVE_PAUSE_MILLIS));
    }

    /**
     * Tries to connect to a server after a connection to it has broken. Repeated checks of one server within a short time
     * are skipped; a probe that it has answered before is no reason to skip one. Called by the router's thread only.
     *
     * @param lagMillis recent scheduling delay of this process, by which the result may be read later
     */
    void checkConnection(BackendServer server, Consumer<RouterEvent> router, long lagMillis, long now) {
        checkPauses.values().removeIf(until -> now >= until);
        if (checkPauses.putIfAbsent(server.id(), now + CHECK_PAUSE_MILLIS) == null) {
            long timeout = PROBE_TIMEOUT_MILLIS + LAG_FACTOR * lagMillis;
            submit(() -> router.accept(
                    new RouterEvent.ConnectionChecked(server, faultIfThrown(() -> calls.connect(server, timeout)))));
        }
    }

    /**
     * Asks a server for a sign of life, on threads that serve nothing else: a busy server may take its time.
     *
     * @param healthPath path of the health of a plain server
     * @param question number that the result carries
     * @param lagMillis recent scheduling delay of this process, by which the answer may be read later
     * @return whether a result follows; false if too many calls are queued
     */
    boolean askForLife(
            BackendServer server, String healthPath, long question, Consumer<RouterEvent> router, long lagMillis) {
        boolean engine = !server.card().isEmpty();
        long timeout = (engine ? ENGINE_LIFE_TIMEOUT_MILLIS : PLAIN_LIFE_TIMEOUT_MILLIS) + LAG_FACTOR * lagMillis;
        return submit(
                lifeThreads,
                () -> router.accept(new RouterEvent.LifeAsked(
                        server, question, faultIfThrown(() -> calls.askForLife(server, healthPath, timeout)))));
    }

    /** Reads the report of an engine; false if too many calls are queued. */
    boolean requestReport(BackendServer engine, Consumer<RouterEvent> router) {
        return submit(() -> {
            Either<PlatformFault, EngineReport> report = faultIfThrown(() -> calls.report(engine), fault -> fault);
            router.accept(new RouterEvent.EngineReportResult(engine, report));
        });
    }

    /** Orders an engine to move a running request; false if too many calls are queued. */
    boolean move(Attempt attempt, StagePath path, Consumer<RouterEvent> router) {
        String id = attempt.exchange().request().id();
        return submit(() -> {
            Either<MoveFault, byte[]> result = faultIfThrown(
                    () -> calls.repath(attempt.server(), id, path), fault -> new MoveFault(fault, Optional.empty()));
            router.accept(new RouterEvent.MoveResult(attempt, path, result));
        });
    }

    private Either<PlatformFault, EngineReport> report(BackendServer engine, long timeoutMillis) {
        return faultIfThrown(() -> calls.report(engine, timeoutMillis), fault -> fault);
    }

    /** Makes a call; an exception counts as no answer, since the engine may have received the call. */
    private static <F, T> Either<F, T> faultIfThrown(
            Supplier<Either<F, T>> call, Function<PlatformFault, F> faultMapper) {
        try {
            return call.get();
        } catch (RuntimeException e) {
            return Either.left(faultMapper.apply(new PlatformFault(PlatformFault.Kind.NO_ANSWER, e.toString())));
        }
    }

    /** The same for a call whose only result is a fault. */
    private static Optional<PlatformFault> faultIfThrown(Supplier<Optional<PlatformFault>> call) {
        try {
            return call.get();
        } catch (RuntimeException e) {
            return Optional.of(new PlatformFault(PlatformFault.Kind.NO_ANSWER, e.toString()));
        }
    }

    private boolean submit(Runnable call) {
        return submit(threads, call);
    }

    private static boolean submit(Executor executor, Runnable call) {
        try {
            executor.execute(call);
            return true;
        } catch (RejectedExecutionException e) {
            return false; // the caller retries at its next tick
        }
    }
}
