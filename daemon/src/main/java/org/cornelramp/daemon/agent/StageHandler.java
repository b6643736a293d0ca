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
 * Manages the stages of pipeline sessions at this agent: opens and closes them, accepts their inputs, and exports
 * their KV cache.
 *
 * <p>Confined to the agent's event loop thread. Invariants: a session whose engine state is uncertain is dropped and
 * reported lost, never stepped again; the number of sessions is bounded, and a session without an entry, or past its
 * deadline, is dropped.
 */
final class StageHandler {
    private static final System.Logger LOG = System.getLogger(StageHandler.class.getName());
    /** Time for which a session is kept after the link of its entry was lost, as it may reconnect or be replaced. */
    private static final long ORPHAN_MILLIS = 5_000;
    /** Time for which a session is kept after its deadline, so that the entry reports the timeout first. */
    private static final long DEADLINE_GRACE_MILLIS = 2_000;

    /** Number of largest-size sessions whose outputs fit the memory of an agent; more smaller ones fit. */
    private static final long MAX_FULL_SESSIONS = 64;

    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long OVERLOAD_RETRY_MILLIS = 200;

    private final DaemonSettings settings;
    private final EngineClient engine;
    private final CompletionDispatcher completions;
    private final Map<Long, Stage> stages = new HashMap<>();
    private final StepBatcher batcher;
    private final OutputSender sender;

    StageHandler(
            DaemonSettings settings,
            EngineClient engine,
            CompletionDispatcher completions,
            StepBatcher batcher,
            OutputSender sender) {
        this.settings = settings;
        this.engine = engine;
        this.completions = completions;
        this.batcher = batcher;
        this.sender = sender;
    }

    /**
     * Opens a stage, or reopens it under a higher epoch.
     *
     * @param refusal the reason why new work is refused now; a session that is already held continues regardless
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
        Optional<KeyResult> reason = refusal.or(() -> refusalReason(open));
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
            completions.whenComplete(
                    engine.cancel(open.session()), (done, failure) -> add(link, open, newSession(open), now));
        } else {
            add(link, open, newSession(open), now);
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
        sender.releaseLink(held);
        held.open = open;
        held.entryLink = link;
        held.orphanedAt = 0;
        held.nextMissingAt = 0;
        held.exportRequested = false;
        held.deadline = now.plusMillis(open.budgetMillis());
        sender.acquireLink(held);
        link.send(new StageOpened(open.session(), open.epoch(), open.stage(), held.session.position()));
    }

    private Optional<KeyResult> refusalReason(OpenStage open) {
        if (open.stages().size() != open.incarnations().size()
                || open.stage() >= open.stages().size()) {
            return Optional.of(
                    KeyResult.notRun(ProblemKind.MALFORMED_REQUEST, "The stages and incarnations do not match", 0));
        }
        if (positions(open) > settings.bounds().keptOutputs()) {
            return Optional.of(
                    KeyResult.notRun(ProblemKind.REQUEST_TOO_LARGE, "The token limit exceeds bounds.keptOutputs", 0));
        }
        boolean tooMany = stages.size() >= settings.bounds().inProgress();
        if (tooMany
                || reservedPositions() + positions(open)
                        > MAX_FULL_SESSIONS * settings.bounds().keptOutputs()) {
            return Optional.of(KeyResult.notRun(
                    ProblemKind.OVERLOADED, "The agent holds its maximum number of sessions", OVERLOAD_RETRY_MILLIS));
        }
        long wait = batcher.expectedWaitMillis(waitingPositions() + open.promptTokens());
        if (wait > open.budgetMillis()) {
            return Optional.of(KeyResult.notRun(
                    ProblemKind.DEADLINE_UNREACHABLE,
                    "The steps queued before its first token take longer than its deadline allows",
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

    private static StageSession newSession(OpenStage open) {
        return new StageSession(toStageSpec(open), open.epoch());
    }

    private static StageSpec toStageSpec(OpenStage open) {
        return new StageSpec(open.stage(), open.stages().size(), open.promptTokens(), open.maxTokens());
    }

    private void add(Link link, OpenStage open, StageSession session, Moment now) {
        Stage newer = stages.get(open.session());
        if (newer != null && newer.session.epoch() >= open.epoch()) {
            return;
        }
        Stage stage = new Stage(session, open, link, now.plusMillis(open.budgetMillis()));
        stages.put(open.session(), stage);
        sender.acquireLink(stage);
        link.send(new StageOpened(open.session(), open.epoch(), open.stage(), session.position()));
    }

    private void importKv(Link link, OpenStage open, Moment now) {
        Optional<ExportedStage> exported = ExportedStage.read(open.kv().orElseThrow());
        if (exported.isEmpty()) {
            add(link, open, newSession(open), now);
            return;
        }
        ExportedStage from = exported.get();
        completions.whenComplete(engine.importKv(open.session(), from.kv()), (done, failure) -> {
            if (failure == null) {
                add(link, open, new StageSession(toStageSpec(open), open.epoch(), from.snapshot()), now);
            } else {
                LOG.log(
                        System.Logger.Level.INFO,
                        "agent: a KV cache was not imported, so the stage is rebuilt; session="
                                + Long.toHexString(open.session()) + " why=" + failure.getMessage());
                completions.whenComplete(
                        engine.cancel(open.session()),
                        (cancelled, cancelFailure) -> add(link, open, newSession(open), now));
            }
        });
    }

    /** Accepts inputs from the entry or from the previous stage. */
    void step(Step step, Moment now) {
        Stage stage = stages.get(step.session());
        if (stage == null) {
            return;
        }
        StepAcceptance acceptance = stage.session.accept(step.epoch(), step.position(), step.inputs());
        if (acceptance == StepAcceptance.OUT_OF_RANGE) {
            stage.reportLost(stage.open.stage(), ProblemKind.BACKEND_LOST, "Inputs before the received step were lost");
        }
        if (stage.session.isReady()) {
            batcher.enqueue(stage, now);
        }
    }

    /** Starts to send outputs, beginning at a position. */
    void sendFrom(SendFrom from, Moment now) {
        Stage stage = stages.get(from.session());
        if (stage != null && stage.session.startSending(from.epoch(), from.position())) {
            sender.sendPending(stage, now);
        }
    }

    /** Ends a session. */
    void close(CloseStage close) {
        Stage stage = stages.get(close.session());
        if (stage != null && close.epoch() >= stage.session.epoch()) {
            drop(stage);
        }
    }

    /** Freezes a stage between two steps and sends its KV cache to the entry. */
    void export(ExportStage export) {
        Stage stage = stages.get(export.session());
        if (stage == null || export.epoch() != stage.session.epoch()) {
            return;
        }
        stage.session.freeze();
        stage.exportRequested = true;
        exportIfIdle(stage);
    }

    /** Starts a requested export if no step of the stage is running; also called after each step. */
    void exportIfIdle(Stage stage) {
        if (!stage.exportRequested || stage.session.running() > 0) {
            return;
        }
        stage.exportRequested = false;
        int epoch = stage.session.epoch();
        completions.whenComplete(engine.exportKv(stage.id()), (kv, failure) -> {
            Optional<byte[]> bytes = Optional.empty();
            if (failure == null && kv.position() == stage.session.position()) {
                bytes = new ExportedStage(kv, stage.session.snapshot())
                        .write(settings.bounds().frameBytes());
            }
            stage.entryLink.send(
                    new StageExported(stage.id(), epoch, stage.open.stage(), stage.session.position(), bytes));
        });
    }

    /** Drops a session whose engine state is lost or uncertain, and reports it to the entry. */
    void dropLost(Stage stage, ProblemKind kind, String detail) {
        if (isHeld(stage)) {
            stage.reportLost(stage.open.stage(), kind, detail);
            drop(stage);
        }
    }

    /** Whether this is still the agent's stage for its session. */
    boolean isHeld(Stage stage) {
        return stages.get(stage.id()) == stage;
    }

    private void drop(Stage stage) {
        stages.remove(stage.id());
        sender.releaseLink(stage);
        completions.whenComplete(engine.cancel(stage.id()), (done, failure) -> {});
    }

    /**
     * Drops all sessions after the engine has died, since their KV caches are lost.
     *
     * @return fingerprints of the requests that were at the engine
     */
    List<String> abandonAll() {
        List<String> fingerprints = new ArrayList<>();
        for (Stage stage : new ArrayList<>(stages.values())) {
            if (stage.session.running() > 0) {
                fingerprints.add(stage.open.fingerprint());
            }
            dropLost(stage, ProblemKind.BACKEND_LOST, "The engine died and its KV cache is lost");
        }
        return fingerprints;
    }

    /** Attaches sessions to the new link of their entry, and sends their outputs again. */
    void linkOpened(Link link, Moment now) {
        for (Stage stage : stages.values()) {
            boolean sameEntry = link.peer().entry()
                    && link.peer().incarnation().equals(stage.entryLink.peer().incarnation());
            if (sameEntry && !stage.entryLink.isOpen()) {
                stage.entryLink = link;
                stage.orphanedAt = 0;
                stage.session.resendAll();
                sender.sendPending(stage, now);
            }
        }
    }

    /** Sends pending outputs, and drops sessions without an entry or past their deadline. */
    void tick(Moment now) {
        for (Stage stage : new ArrayList<>(stages.values())) {
            if (!stage.entryLink.isOpen() && stage.orphanedAt == 0) {
                stage.orphanedAt = now.nanos();
            }
            boolean orphaned = !stage.entryLink.isOpen() && hasElapsed(stage.orphanedAt, ORPHAN_MILLIS, now);
            if (orphaned || hasElapsed(stage.deadline, DEADLINE_GRACE_MILLIS, now)) {
                drop(stage);
            } else {
                sender.sendPending(stage, now);
            }
        }
    }

    private static boolean hasElapsed(long since, long millis, Moment now) {
        return since != 0 && now.nanos() - since > millis * NANOS_PER_MILLI;
    }

    /** All stages held. */
    Iterable<Stage> stages() {
        return stages.values();
    }

    int count() {
        return stages.size();
    }
}
