package org.cornelramp.daemon.agent;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HexFormat;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.cornelramp.core.model.ProblemKind;
import org.cornelramp.core.settings.DaemonSettings;
import org.cornelramp.core.step.InputBatch;
import org.cornelramp.ports.EngineClient;
import org.cornelramp.ports.EngineStep;
import org.cornelramp.ports.EngineStepResult;
import org.cornelramp.ports.EngineStepResults;
import org.cornelramp.ports.PlatformException;

/**
 * Batches the steps that are ready into calls to the engine.
 *
 * <p>Confined to the agent's duty. Two batches are in flight at most: while the engine works on one, the next waits
 * at its door and not here, and more would only wait there, out of reach of priorities. Invariants: a session is in
 * one batch at a time; the outcome of a batch is taken once, from its answer or from its timeout.
 */
final class EngineStepper {
    private static final int BATCHES = 2;
    private static final int MAX_POSITIONS = 256;
    private static final int SLOWER_THAN_USUAL = 4;
    private static final HexFormat HEX = HexFormat.of();
    private static final long MILLIS = 1_000;
    private static final long MILLI = 1_000_000L;

    private final DaemonSettings settings;
    private final EngineClient engine;
    private final Completions completions;
    private final Supplier<Moment> clock;
    private final CrashSuspects suspects;
    private final SpeedMeter speed = new SpeedMeter();
    private final Set<Stage> ready = new LinkedHashSet<>();
    private final List<Batch> inFlight = new ArrayList<>();
    private StageHandler handler;
    private OutputSender sender;
    private BackendWatch backend;
    private int slots = 1;

    EngineStepper(
            DaemonSettings settings,
            EngineClient engine,
            Completions completions,
            Supplier<Moment> clock,
            CrashSuspects suspects) {
        this.settings = settings;
        this.engine = engine;
        this.completions = completions;
        this.clock = clock;
        this.suspects = suspects;
    }

    /** Joins the stepper with the parts that it calls back. */
    void join(StageHandler stageHandler, OutputSender outputSender) {
        this.handler = stageHandler;
        this.sender = outputSender;
    }

    /** Sets who is told of the engine's life with each result, and of an engine that refuses connections. */
    void watch(BackendWatch watch) {
        this.backend = watch;
    }

    /** Sets how many sessions run side by side. */
    void slots(int count) {
        slots = Math.max(1, count);
    }

    /** Notes that a stage has inputs to run. */
    void ready(Stage stage, Moment now) {
        ready.add(stage);
        pump(now);
    }

    private void pump(Moment now) {
        while (inFlight.size() < BATCHES && !ready.isEmpty()) {
            Batch batch = gather(now);
            if (batch.entries.isEmpty()) {
                return;
            }
            run(batch);
        }
    }

    private Batch gather(Moment now) {
        ready.removeIf(stage -> !handler.isHeld(stage) || !stage.session.isReady());
        List<Stage> candidates = new ArrayList<>(ready);
        candidates.sort(Comparator.comparingInt((Stage stage) -> stage.open.priority()));
        Batch batch = new Batch(now.nanos());
        for (Stage stage : candidates) {
            ready.remove(stage);
            Optional<InputBatch> run = stage.session.nextRun(MAX_POSITIONS);
            run.ifPresent(r -> batch.entries.add(new Entry(stage, r)));
            if (batch.entries.size() >= slots) {
                break;
            }
        }
        return batch;
    }

    private void run(Batch batch) {
        List<EngineStep> steps = new ArrayList<>();
        for (Entry entry : batch.entries) {
            Stage stage = entry.stage;
            steps.add(new EngineStep(
                    HEX.toHexDigits(stage.id()),
                    entry.run.position(),
                    entry.run.inputs(),
                    stage.open.priority(),
                    stage.session.epoch()));
        }
        inFlight.add(batch);
        completions.on(engine.steps(steps), (results, failure) -> ended(batch, results, failure));
    }

    private void ended(Batch batch, EngineStepResults results, Throwable failure) {
        if (!inFlight.remove(batch)) {
            return;
        }
        Moment now = clock.get();
        if (failure != null) {
            failed(batch, failure, now);
        } else {
            backend.heardLife(results.life());
            done(batch, results, now);
        }
        pump(now);
    }

    private void done(Batch batch, EngineStepResults results, Moment now) {
        int positions = 0;
        for (int i = 0; i < batch.entries.size(); i++) {
            Entry entry = batch.entries.get(i);
            EngineStepResult result =
                    i < results.results().size() ? results.results().get(i) : null;
            if (!handler.isHeld(entry.stage)) {
                continue;
            }
            if (result == null || result.outputs().isEmpty()) {
                String why = result == null ? "no result" : result.error().orElse("no outputs");
                handler.lost(entry.stage, ProblemKind.BACKEND_FAILED, "The engine did not run a step: " + why);
                continue;
            }
            positions += result.outputs().get().length;
            ran(entry.stage, result.outputs().get(), now);
        }
        if (positions > 0) {
            speed.done(positions, now.nanos() - batch.startedAt, now.nanos());
        }
    }

    private void ran(Stage stage, long[] outputs, Moment now) {
        if (outputs.length != stage.session.running()) {
            handler.lost(stage, ProblemKind.BACKEND_FAILED, "The engine gave another number of outputs than inputs");
            return;
        }
        stage.session.completeRun(outputs);
        handler.exportIfStill(stage);
        sender.pump(stage, now);
        if (stage.session.isReady()) {
            ready.add(stage);
        }
    }

    /** Only a refusal tells that nothing ran; after any other failure the engine's cache is in doubt. */
    private void failed(Batch batch, Throwable failure, Moment now) {
        PlatformException.Kind kind =
                failure instanceof PlatformException e ? e.kind() : PlatformException.Kind.ANSWER_LOST;
        for (Entry entry : batch.entries) {
            if (!handler.isHeld(entry.stage)) {
                continue;
            }
            if (kind == PlatformException.Kind.REFUSED) {
                entry.stage.session.cancelRun();
                ready.add(entry.stage);
            } else {
                suspects.lostAnswer(entry.stage.open.fingerprint(), now);
                handler.lost(entry.stage, ProblemKind.BACKEND_LOST, "The engine did not answer a step");
            }
        }
        if (kind == PlatformException.Kind.NOT_SENT) {
            backend.refusedConnection();
        } else if (kind == PlatformException.Kind.ANSWER_LOST) {
            backend.askSoon();
        }
    }

    /**
     * Gives up a batch that takes far longer than the engine's speed explains: its connection has gone silent, and
     * its sessions would stand still until the HTTP timeout. They are rebuilt elsewhere, which is safe if it ran.
     */
    private void giveUpSilent(Moment now) {
        for (Batch batch : List.copyOf(inFlight)) {
            long millis = (now.nanos() - batch.startedAt) / MILLI;
            if (millis > patienceMillis(batch) && inFlight.remove(batch)) {
                failed(batch, new PlatformException(PlatformException.Kind.ANSWER_LOST, "silent", 0), now);
            }
        }
    }

    private long patienceMillis(Batch batch) {
        long base = settings.timing().backendTimeoutMillis();
        double perSecond = speed.unitsPerSecond();
        if (perSecond == 0) {
            return base * (long) SLOWER_THAN_USUAL;
        }
        long positions =
                batch.entries.stream().mapToLong(e -> e.run.inputs().length).sum();
        return base + Math.round((double) SLOWER_THAN_USUAL * inFlight.size() * positions * MILLIS / perSecond);
    }

    /** Notes that this process itself stood still for a while, which is no fault of the engine. */
    void woke(long pausedNanos) {
        inFlight.forEach(batch -> batch.startedAt += pausedNanos);
    }

    /** Expected time until as many positions have run, in milliseconds; 0 while the speed is unknown. */
    long expectedWaitMillis(long positions) {
        double perSecond = speed.unitsPerSecond();
        return perSecond == 0 ? 0 : Math.round(positions * MILLIS / perSecond);
    }

    /** Runs what was put back, once the engine may take it again, and gives up what is silent. */
    void tick(Moment now) {
        giveUpSilent(now);
        speed.age(now.nanos());
        pump(now);
    }

    double positionsPerSecond() {
        return speed.unitsPerSecond();
    }

    long meanMicros() {
        return speed.meanMicros();
    }

    /** One call to the engine. */
    private static final class Batch {
        final List<Entry> entries = new ArrayList<>();
        long startedAt;

        Batch(long startedAt) {
            this.startedAt = startedAt;
        }
    }

    /** One session's share of a batch. */
    private record Entry(Stage stage, InputBatch run) {}
}
