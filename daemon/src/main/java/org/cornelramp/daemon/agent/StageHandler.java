package org.cornelramp.daemon.agent;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cornelramp.core.ledger.KeyResult;
import org.cornelramp.core.model.ProblemKind;
import org.cornelramp.core.settings.DaemonSettings;
import org.cornelramp.core.step.StageSession;
import org.cornelramp.core.step.StageSpec;
import org.cornelramp.core.step.StepAcceptance;
import org.cornelramp.ports.EngineClient;
import org.cornelramp.wire.link.Link;
import org.cornelramp.wire.message.CloseStage;
import org.cornelramp.wire.message.ExportStage;
import org.cornelramp.wire.message.OpenStage;
import org.cornelramp.wire.message.SendFrom;
import org.cornelramp.wire.message.StageExported;
import org.cornelramp.wire.message.StageOpened;
import org.cornelramp.wire.message.StageRefused;
import org.cornelramp.wire.message.Step;

/**
 * Holds the stages of pipeline sessions at this agent: opens and closes them, takes their inputs, and hands over
 * their KV cache.
 *
 * <p>Confined to the agent's duty. Invariants: a session whose engine state is in doubt is dropped and reported lost,
 * never stepped again; sessions are bounded, and one that nobody asks for any more is dropped.
 */
final class StageHandler {
    private static final System.Logger LOG = System.getLogger(StageHandler.class.getName());
    /** How long a session outlives the link of its entry, which may come back or be replaced. */
    private static final long ORPHAN_MILLIS = 5_000;
    /** How long a session outlives its deadline, so that the entry's own verdict comes first. */
    private static final long GRACE_MILLIS = 2_000;

    /** Sessions of the largest size whose outputs fit the memory of an agent; of smaller ones there may be more. */
    private static final long FULL_SESSIONS = 64;

    private static final long MILLI = 1_000_000L;
    private static final long BUSY_WAIT_MILLIS = 200;

    private final DaemonSettings settings;
    private final EngineClient engine;
    private final Completions completions;
    private final Map<Long, Stage> stages = new HashMap<>();
    private final EngineStepper stepper;
    private final OutputSender sender;

    StageHandler(
            DaemonSettings settings,
            EngineClient engine,
            Completions completions,
            EngineStepper stepper,
            OutputSender sender) {
        this.settings = settings;
        this.engine = engine;
        this.completions = completions;
        this.stepper = stepper;
        this.sender = sender;
    }

    /**
     * Opens a stage, or opens it anew under a higher epoch.
     *
     * @param refusal why no new work is taken now, if so; a session that is held goes on regardless
     */
    void open(Link link, OpenStage open, Optional<KeyResult> refusal, Moment now) {
        Stage held = stages.get(open.session());
        if (held != null && held.open.stage() == open.stage()) {
            reopen(held, link, open, now);
            return;
        }
        if (held != null) {
            drop(held);
        }
        Optional<KeyResult> reason = refusal.or(() -> refuse(open));
        if (reason.isPresent()) {
            KeyResult why = reason.get();
            ProblemKind kind = why.kind().orElse(ProblemKind.OVERLOADED);
            link.send(new StageRefused(
                    open.session(), open.epoch(), open.stage(), kind, why.detail(), why.retryAfterMillis()));
            return;
        }
        if (open.kv().isPresent()) {
            importKv(link, open, now);
        } else if (open.epoch() > 1 || held != null) {
            // The engine may still hold the session's cache from a stage that this agent held and lost.
            completions.on(engine.cancel(open.session()), (done, failure) -> add(link, open, fresh(open), now));
        } else {
            add(link, open, fresh(open), now);
        }
    }

    private void reopen(Stage held, Link link, OpenStage open, Moment now) {
        if (!held.session.openEpoch(open.epoch())) {
            link.send(new StageRefused(
                    open.session(),
                    open.epoch(),
                    open.stage(),
                    ProblemKind.BACKEND_LOST,
                    "A higher epoch of the session was opened before",
                    0));
            return;
        }
        sender.release(held);
        held.open = open;
        held.entry = link;
        held.orphanedAt = 0;
        held.nextMissingAt = 0;
        held.exporting = false;
        held.deadline = now.plusMillis(open.budgetMillis());
        sender.hold(held);
        link.send(new StageOpened(open.session(), open.epoch(), open.stage(), held.session.position()));
    }

    private Optional<KeyResult> refuse(OpenStage open) {
        if (open.stages().size() != open.incarnations().size()
                || open.stage() >= open.stages().size()) {
            return Optional.of(KeyResult.notRun(ProblemKind.MALFORMED_REQUEST, "The stages do not fit together", 0));
        }
        if (positions(open) > settings.bounds().keptOutputs()) {
            return Optional.of(
                    KeyResult.notRun(ProblemKind.REQUEST_TOO_LARGE, "The tokens are more than bounds.keptOutputs", 0));
        }
        boolean tooMany = stages.size() >= settings.bounds().inProgress();
        if (tooMany
                || reservedPositions() + positions(open)
                        > FULL_SESSIONS * settings.bounds().keptOutputs()) {
            return Optional.of(
                    KeyResult.notRun(ProblemKind.OVERLOADED, "The agent holds all sessions it can", BUSY_WAIT_MILLIS));
        }
        long wait = stepper.expectedWaitMillis(waitingPositions() + open.promptTokens());
        if (wait > open.budgetMillis()) {
            return Optional.of(KeyResult.notRun(
                    ProblemKind.DEADLINE_UNREACHABLE,
                    "The steps before its first token take longer than its deadline allows",
                    wait));
        }
        return Optional.empty();
    }

    private long reservedPositions() {
        long reserved = 0;
        for (Stage stage : stages.values()) {
            reserved += positions(stage.open);
        }
        return reserved;
    }

    private static long positions(OpenStage open) {
        return (long) open.promptTokens() + open.maxTokens();
    }

    private long waitingPositions() {
        long waiting = 0;
        for (Stage stage : stages.values()) {
            waiting += stage.session.waiting();
        }
        return waiting;
    }

    private static StageSession fresh(OpenStage open) {
        return new StageSession(shape(open), open.epoch());
    }

    private static StageSpec shape(OpenStage open) {
        return new StageSpec(open.stage(), open.stages().size(), open.promptTokens(), open.maxTokens());
    }

    private void add(Link link, OpenStage open, StageSession session, Moment now) {
        Stage newer = stages.get(open.session());
        if (newer != null && newer.session.epoch() >= open.epoch()) {
            return;
        }
        Stage stage = new Stage(session, open, link, now.plusMillis(open.budgetMillis()));
        stages.put(open.session(), stage);
        sender.hold(stage);
        link.send(new StageOpened(open.session(), open.epoch(), open.stage(), session.position()));
    }

    private void importKv(Link link, OpenStage open, Moment now) {
        Optional<ExportedStage> exported = ExportedStage.read(open.kv().orElseThrow());
        if (exported.isEmpty()) {
            add(link, open, fresh(open), now);
            return;
        }
        ExportedStage from = exported.get();
        completions.on(engine.importKv(open.session(), from.kv()), (done, failure) -> {
            if (failure == null) {
                add(link, open, new StageSession(shape(open), open.epoch(), from.snapshot()), now);
            } else {
                LOG.log(
                        System.Logger.Level.INFO,
                        "agent: a KV cache was not imported, the stage is rebuilt; session="
                                + Long.toHexString(open.session()) + " why=" + failure.getMessage());
                completions.on(engine.cancel(open.session()), (d, f) -> add(link, open, fresh(open), now));
            }
        });
    }

    /** Takes inputs from the entry or the stage before. */
    void step(Step step, Moment now) {
        Stage stage = stages.get(step.session());
        if (stage == null) {
            return;
        }
        StepAcceptance verdict = stage.session.accept(step.epoch(), step.position(), step.inputs());
        if (verdict == StepAcceptance.OUT_OF_RANGE) {
            stage.reportLost(stage.open.stage(), ProblemKind.BACKEND_LOST, "Inputs before the step were lost");
        }
        if (stage.session.isReady()) {
            stepper.ready(stage, now);
        }
    }

    /** Starts to send outputs from a position on. */
    void sendFrom(SendFrom from, Moment now) {
        Stage stage = stages.get(from.session());
        if (stage != null && stage.session.startSending(from.epoch(), from.position())) {
            sender.pump(stage, now);
        }
    }

    /** Ends a session. */
    void close(CloseStage close) {
        Stage stage = stages.get(close.session());
        if (stage != null && close.epoch() >= stage.session.epoch()) {
            drop(stage);
        }
    }

    /** Stops a stage between two steps and gives its KV cache. */
    void export(ExportStage export) {
        Stage stage = stages.get(export.session());
        if (stage == null || export.epoch() != stage.session.epoch()) {
            return;
        }
        stage.session.freeze();
        stage.exporting = true;
        exportIfStill(stage);
    }

    /** Called after each step of an exporting stage, too. */
    void exportIfStill(Stage stage) {
        if (!stage.exporting || stage.session.running() > 0) {
            return;
        }
        stage.exporting = false;
        int epoch = stage.session.epoch();
        completions.on(engine.exportKv(stage.id()), (kv, failure) -> {
            Optional<byte[]> bytes = Optional.empty();
            if (failure == null && kv.position() == stage.session.position()) {
                bytes = new ExportedStage(kv, stage.session.snapshot())
                        .write(settings.bounds().frameBytes());
            }
            stage.entry.send(new StageExported(stage.id(), epoch, stage.open.stage(), stage.session.position(), bytes));
        });
    }

    /** A session's engine state is gone or in doubt. */
    void lost(Stage stage, ProblemKind kind, String detail) {
        if (isHeld(stage)) {
            stage.reportLost(stage.open.stage(), kind, detail);
            drop(stage);
        }
    }

    /** Whether a stage is still the one that the agent holds for its session. */
    boolean isHeld(Stage stage) {
        return stages.get(stage.id()) == stage;
    }

    private void drop(Stage stage) {
        stages.remove(stage.id());
        sender.release(stage);
        completions.on(engine.cancel(stage.id()), (done, failure) -> {});
    }

    /**
     * The engine died, and all KV caches with it.
     *
     * @return fingerprints of the requests that were at the engine
     */
    List<String> backendDied() {
        List<String> fingerprints = new ArrayList<>();
        for (Stage stage : new ArrayList<>(stages.values())) {
            if (stage.session.running() > 0) {
                fingerprints.add(stage.open.fingerprint());
            }
            lost(stage, ProblemKind.BACKEND_LOST, "The engine died, and its KV cache with it");
        }
        return fingerprints;
    }

    /** An entry or a neighbour has linked up: what waits for it goes out. */
    void linkOpened(Link link, Moment now) {
        for (Stage stage : stages.values()) {
            boolean sameEntry = link.peer().entry()
                    && link.peer().incarnation().equals(stage.entry.peer().incarnation());
            if (sameEntry && !stage.entry.isOpen()) {
                stage.entry = link;
                stage.orphanedAt = 0;
                stage.session.resendAll();
                sender.pump(stage, now);
            }
        }
    }

    /** Sends what could not be sent, and drops what nobody waits for. */
    void tick(Moment now) {
        for (Stage stage : new ArrayList<>(stages.values())) {
            if (!stage.entry.isOpen() && stage.orphanedAt == 0) {
                stage.orphanedAt = now.nanos();
            }
            boolean orphaned = !stage.entry.isOpen() && isOver(stage.orphanedAt, ORPHAN_MILLIS, now);
            if (orphaned || isOver(stage.deadline, GRACE_MILLIS, now)) {
                drop(stage);
            } else {
                sender.pump(stage, now);
            }
        }
    }

    private static boolean isOver(long since, long millis, Moment now) {
        return since != 0 && now.nanos() - since > millis * MILLI;
    }

    /** All stages held. */
    Iterable<Stage> stages() {
        return stages.values();
    }

    int count() {
        return stages.size();
    }
}
