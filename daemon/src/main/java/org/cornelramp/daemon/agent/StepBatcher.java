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
 * <p>Confined to the agent's event loop thread. At most two batches are in flight: while the engine runs one, the next
 * is already queued at the engine. Further batches would only wait there, where they can no longer be reordered by
 * priority. Invariants: a session is in at most one batch at a time; the outcome of a batch is handled once, from its
 * answer or from its timeout.
 */
final class StepBatcher {
    private static final int MAX_BATCHES_IN_FLIGHT = 2;
    private static final int MAX_POSITIONS_PER_STEP = 256;
    private static final int TIMEOUT_FACTOR = 4;
    private static final HexFormat HEX = HexFormat.of();
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final DaemonSettings settings;
    private final EngineClient engine;
    private final CompletionDispatcher completions;
    private final Supplier<Moment> clock;
    private final CrashSuspects suspects;
    private final ThroughputMeter throughput = new ThroughputMeter();
    private final Set<Stage> readyStages = new LinkedHashSet<>();
    private final List<Batch> inFlight = new ArrayList<>();
    private StageHandler handler;
    private OutputSender sender;
    private BackendMonitor backendMonitor;
    private int slots = 1;

    StepBatcher(
            DaemonSettings settings,
            EngineClient engine,
            CompletionDispatcher completions,
            Supplier<Moment> clock,
            CrashSuspects suspects) {
        this.settings = settings;
        this.engine = engine;
        this.completions = completions;
        this.clock = clock;
        this.suspects = suspects;
    }

    /** Sets the handler and the sender that results are passed to. */
    void setCollaborators(StageHandler stageHandler, OutputSender outputSender) {
        this.handler = stageHandler;
        this.sender = outputSender;
    }

    /** Sets the monitor that receives the engine's incarnation with each result, and connection failures. */
    void setMonitor(BackendMonitor monitor) {
        this.backendMonitor = monitor;
    }

    /** Sets how many sessions run concurrently. */
    void setSlots(int count) {
        slots = Math.max(1, count);
    }

    /** Queues a stage that has inputs to run. */
    void enqueue(Stage stage, Moment now) {
        readyStages.add(stage);
        submitBatches(now);
    }

    private void submitBatches(Moment now) {
        while (inFlight.size() < MAX_BATCHES_IN_FLIGHT && !readyStages.isEmpty()) {
            Batch batch = nextBatch(now);
            if (batch.entries.isEmpty()) {
                return;
            }
            submit(batch);
        }
    }

    private Batch nextBatch(Moment now) {
        readyStages.removeIf(stage -> !handler.isHeld(stage) || !stage.session.isReady());
        List<Stage> candidates = new ArrayList<>(readyStages);
        candidates.sort(Comparator.comparingInt((Stage stage) -> stage.open.priority()));
        Batch batch = new Batch(now.nanos());
        for (Stage stage : candidates) {
            readyStages.remove(stage);
            Optional<InputBatch> run = stage.session.nextRun(MAX_POSITIONS_PER_STEP);
            run.ifPresent(r -> batch.entries.add(new BatchEntry(stage, r)));
            if (batch.entries.size() >= slots) {
                break;
            }
        }
        return batch;
    }

    private void submit(Batch batch) {
        List<EngineStep> steps = new ArrayList<>();
        for (BatchEntry entry : batch.entries) {
            Stage stage = entry.stage;
            steps.add(new EngineStep(
                    HEX.toHexDigits(stage.id()),
                    entry.run.position(),
                    entry.run.inputs(),
                    stage.open.priority(),
                    stage.session.epoch()));
        }
        inFlight.add(batch);
        completions.whenComplete(engine.steps(steps), (results, failure) -> onCompleted(batch, results, failure));
    }

    private void onCompleted(Batch batch, EngineStepResults results, Throwable failure) {
        if (!inFlight.remove(batch)) {
            return;
        }
        Moment now = clock.get();
        if (failure != null) {
            handleFailure(batch, failure, now);
        } else {
            backendMonitor.observeIncarnation(results.life());
            handleResults(batch, results, now);
        }
        submitBatches(now);
    }

    private void handleResults(Batch batch, EngineStepResults results, Moment now) {
        int positions = 0;
        for (int i = 0; i < batch.entries.size(); i++) {
            BatchEntry entry = batch.entries.get(i);
            EngineStepResult result =
                    i < results.results().size() ? results.results().get(i) : null;
            if (!handler.isHeld(entry.stage)) {
                continue;
            }
            if (result == null || result.outputs().isEmpty()) {
                String why = result == null ? "no result" : result.error().orElse("no outputs");
                handler.dropLost(entry.stage, ProblemKind.BACKEND_FAILED, "The engine did not run a step: " + why);
                continue;
            }
            positions += result.outputs().get().length;
            handleOutputs(entry.stage, result.outputs().get(), now);
        }
        if (positions > 0) {
            throughput.recordSample(positions, now.nanos() - batch.startedAt, now.nanos());
        }
    }

    private void handleOutputs(Stage stage, long[] outputs, Moment now) {
        if (outputs.length != stage.session.running()) {
            handler.dropLost(
                    stage, ProblemKind.BACKEND_FAILED, "The engine's output count differs from its input count");
            return;
        }
        stage.session.completeRun(outputs);
        handler.exportIfIdle(stage);
        sender.sendPending(stage, now);
        if (stage.session.isReady()) {
            readyStages.add(stage);
        }
    }

    /** Only a refusal proves that nothing ran; after any other failure the state of the engine's cache is unknown. */
    private void handleFailure(Batch batch, Throwable failure, Moment now) {
        PlatformException.Kind kind =
                failure instanceof PlatformException e ? e.kind() : PlatformException.Kind.ANSWER_LOST;
        for (BatchEntry entry : batch.entries) {
            if (!handler.isHeld(entry.stage)) {
                continue;
            }
            if (kind == PlatformException.Kind.REFUSED) {
                entry.stage.session.cancelRun();
                readyStages.add(entry.stage);
            } else {
                suspects.recordLostAnswer(entry.stage.open.fingerprint(), now);
                handler.dropLost(entry.stage, ProblemKind.BACKEND_LOST, "The engine did not answer a step");
            }
        }
        if (kind == PlatformException.Kind.NOT_SENT) {
            backendMonitor.connectionRefused();
        } else if (kind == PlatformException.Kind.ANSWER_LOST) {
            backendMonitor.pollSoon();
        }
    }

    /**
     * Abandons batches that take far longer than the engine's throughput explains: the connection no longer delivers
     * data, and the sessions would make no progress until the HTTP timeout. They are rebuilt elsewhere, which is safe
     * even if the batch has run.
     */
    private void abandonTimedOutBatches(Moment now) {
        for (Batch batch : List.copyOf(inFlight)) {
            long millis = (now.nanos() - batch.startedAt) / NANOS_PER_MILLI;
            if (millis > timeoutMillis(batch) && inFlight.remove(batch)) {
                handleFailure(
                        batch,
                        new PlatformException(PlatformException.Kind.ANSWER_LOST, "no answer within the timeout", 0),
                        now);
            }
        }
    }

    private long timeoutMillis(Batch batch) {
        long base = settings.timing().backendTimeoutMillis();
        double perSecond = throughput.unitsPerSecond();
        if (perSecond == 0) {
            return base * (long) TIMEOUT_FACTOR;
        }
        long positions =
                batch.entries.stream().mapToLong(e -> e.run.inputs().length).sum();
        return base + Math.round((double) TIMEOUT_FACTOR * inFlight.size() * positions * MILLIS_PER_SECOND / perSecond);
    }

    /** Extends the timeouts of batches by the length of a pause of this process, which the engine did not cause. */
    void processResumed(long pausedNanos) {
        inFlight.forEach(batch -> batch.startedAt += pausedNanos);
    }

    /** Expected time until this many positions have run, in milliseconds; 0 while the throughput is unknown. */
    long expectedWaitMillis(long positions) {
        double perSecond = throughput.unitsPerSecond();
        return perSecond == 0 ? 0 : Math.round(positions * MILLIS_PER_SECOND / perSecond);
    }

    /** Abandons batches that have timed out and submits waiting stages again, such as those the engine refused. */
    void tick(Moment now) {
        abandonTimedOutBatches(now);
        throughput.expireStale(now.nanos());
        submitBatches(now);
    }

    double positionsPerSecond() {
        return throughput.unitsPerSecond();
    }

    long meanMicros() {
        return throughput.meanMicros();
    }

    /** A batch of steps that is sent to the engine in one call. */
    private static final class Batch {
        final List<BatchEntry> entries = new ArrayList<>();
        long startedAt;

        Batch(long startedAt) {
            this.startedAt = startedAt;
        }
    }

    /** The part of a batch that belongs to one session. */
    private record BatchEntry(Stage stage, InputBatch run) {}
}
