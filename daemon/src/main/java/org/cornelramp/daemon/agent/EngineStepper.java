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
import org.cornelramp.core.step.StepRun;
import org.cornelramp.platform.EngineClient;
import org.cornelramp.platform.EngineStep;
import org.cornelramp.platform.EngineStepResult;
import org.cornelramp.platform.EngineStepResults;
import org.cornelramp.platform.PlatformException;

/**
 * Batches the steps that are ready into calls to the engine.
 *
 * <p>Confined to the agent's duty. Two batches are in flight at most: while the engine works on one, the next waits
 * at its door and not here, and more would only wait there, out of reach of priorities. Invariant: a session is in
 * one batch at a time.
 */
final class EngineStepper {
    private static final int BATCHES = 2;
    private static final int MAX_POSITIONS = 256;
    private static final HexFormat HEX = HexFormat.of();
    private static final long MILLIS = 1_000;

    private final EngineClient engine;
    private final Completions completions;
    private final Supplier<Moment> clock;
    private final SpeedMeter speed = new SpeedMeter();
    private final Set<Stage> ready = new LinkedHashSet<>();
    private StageHandler handler;
    private OutputSender sender;
    private Runnable onRefusedConnection = () -> {};
    private java.util.function.Consumer<String> onLife = life -> {};
    private int slots = 1;
    private int inFlight;

    EngineStepper(EngineClient engine, Completions completions, Supplier<Moment> clock) {
        this.engine = engine;
        this.completions = completions;
        this.clock = clock;
    }

    /** Joins the stepper with the parts that it calls back. */
    void join(StageHandler stageHandler, OutputSender outputSender) {
        this.handler = stageHandler;
        this.sender = outputSender;
    }

    /** Sets who is told of the engine's life with each result, and of an engine that refuses connections. */
    void watch(java.util.function.Consumer<String> life, Runnable refusedConnection) {
        this.onLife = life;
        this.onRefusedConnection = refusedConnection;
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
        while (inFlight < BATCHES && !ready.isEmpty()) {
            List<Entry> batch = gather();
            if (batch.isEmpty()) {
                return;
            }
            run(batch, now);
        }
    }

    private List<Entry> gather() {
        List<Stage> candidates = new ArrayList<>(ready);
        candidates.sort(Comparator.comparingInt((Stage stage) -> stage.open.priority()));
        List<Entry> batch = new ArrayList<>();
        for (Stage stage : candidates) {
            if (batch.size() >= slots) {
                break;
            }
            ready.remove(stage);
            if (handler.isHeld(stage)) {
                Optional<StepRun> run = stage.session.nextRun(MAX_POSITIONS);
                run.ifPresent(r -> batch.add(new Entry(stage, r)));
            }
        }
        return batch;
    }

    private void run(List<Entry> batch, Moment now) {
        List<EngineStep> steps = new ArrayList<>();
        for (Entry entry : batch) {
            Stage stage = entry.stage;
            steps.add(new EngineStep(
                    HEX.toHexDigits(stage.id()),
                    entry.run.position(),
                    entry.run.inputs(),
                    stage.open.priority(),
                    stage.session.epoch()));
        }
        inFlight++;
        completions.on(engine.steps(steps), (results, failure) -> ended(batch, results, failure, now));
    }

    private void ended(List<Entry> batch, EngineStepResults results, Throwable failure, Moment startedAt) {
        inFlight--;
        Moment now = clock.get();
        if (failure != null) {
            failed(batch, failure);
        } else {
            onLife.accept(results.life());
            done(batch, results, now.nanos() - startedAt.nanos(), now);
        }
        pump(now);
    }

    private void done(List<Entry> batch, EngineStepResults results, long nanos, Moment now) {
        int positions = 0;
        for (int i = 0; i < batch.size(); i++) {
            Entry entry = batch.get(i);
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
            speed.done(positions, nanos);
        }
    }

    private void ran(Stage stage, long[] outputs, Moment now) {
        if (outputs.length != stage.session.running()) {
            handler.lost(stage, ProblemKind.BACKEND_FAILED, "The engine gave another number of outputs than inputs");
            return;
        }
        stage.session.ran(outputs);
        handler.exportIfStill(stage);
        sender.pump(stage, now);
        if (stage.session.isReady()) {
            ready.add(stage);
        }
    }

    /** Only a refusal tells that nothing ran; after any other failure the engine's cache is in doubt. */
    private void failed(List<Entry> batch, Throwable failure) {
        PlatformException.Kind kind =
                failure instanceof PlatformException e ? e.kind() : PlatformException.Kind.ANSWER_LOST;
        for (Entry entry : batch) {
            if (!handler.isHeld(entry.stage)) {
                continue;
            }
            if (kind == PlatformException.Kind.REFUSED) {
                entry.stage.session.putBack();
                ready.add(entry.stage);
            } else {
                handler.lost(entry.stage, ProblemKind.BACKEND_LOST, "The engine did not answer a step");
            }
        }
        if (kind == PlatformException.Kind.NOT_SENT) {
            onRefusedConnection.run();
        }
    }

    /** Expected time until as many positions have run, in milliseconds; 0 while the speed is unknown. */
    long expectedWaitMillis(long positions) {
        double perSecond = speed.unitsPerSecond();
        return perSecond == 0 ? 0 : Math.round(positions * MILLIS / perSecond);
    }

    /** Runs what was put back, once the engine may take it again. */
    void tick(Moment now) {
        pump(now);
    }

    double positionsPerSecond() {
        return speed.unitsPerSecond();
    }

    long meanMicros() {
        return speed.meanMicros();
    }

    boolean isIdle() {
        return inFlight == 0;
    }

    /** One session's share of a batch. */
    private record Entry(Stage stage, StepRun run) {}
}
