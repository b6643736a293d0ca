package org.cornelramp.daemon.agent;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Supplier;
import org.cornelramp.core.fence.TermGuard;
import org.cornelramp.core.ledger.KeyResult;
import org.cornelramp.core.model.AgentLoad;
import org.cornelramp.core.model.AgentState;
import org.cornelramp.core.model.Offer;
import org.cornelramp.core.model.ProblemKind;
import org.cornelramp.core.settings.BackendKind;
import org.cornelramp.daemon.kernel.StopSwitch;
import org.cornelramp.daemon.table.TableSource;
import org.cornelramp.wire.link.Link;
import org.cornelramp.wire.message.CloseStage;
import org.cornelramp.wire.message.Drain;
import org.cornelramp.wire.message.ExportStage;
import org.cornelramp.wire.message.Heartbeat;
import org.cornelramp.wire.message.Invoke;
import org.cornelramp.wire.message.Message;
import org.cornelramp.wire.message.OpenStage;
import org.cornelramp.wire.message.Order;
import org.cornelramp.wire.message.SendFrom;
import org.cornelramp.wire.message.Settle;
import org.cornelramp.wire.message.Step;
import org.cornelramp.wire.message.TableRequest;
import org.cornelramp.wire.message.TableUpdate;

/**
 * Holds the agent's state and handles its events and ticks.
 *
 * <p>Confined to the agent's event loop thread, except {@link #heartbeat}, which any thread may read. Decisions rest
 * on the agent's own memory and never on a lease: after a pause of any length the process continues with the same
 * ledger and the same sessions. The frames it then sends late carry old epochs or keys that are bound to this agent
 * alone, so they have no effect elsewhere.
 */
final class Agent implements BackendMonitor.Listener {
    private static final System.Logger LOG = System.getLogger(Agent.class.getName());
    private static final int MAX_SET_ASIDE = 32;
    private static final long TABLE_REQUEST_INTERVAL_MILLIS = 200;
    private static final long NANOS_PER_MILLI = 1_000_000L;
    /** Number of times the load is recomputed in each heartbeat interval. */
    private static final int REFRESHES_PER_HEARTBEAT = 3;

    /**
     * Divisor of the time allowed for a planned stop. The quotient, at most {@link #MAX_SETTLEMENT_MILLIS}, is reserved
     * at the end of the stop for writing the results of keys to the log.
     */
    private static final int SETTLEMENT_TIME_DIVISOR = 5;

    private static final long MAX_SETTLEMENT_MILLIS = 5_000;

    private final Supplier<Moment> clock;
    private final CompletionDispatcher completions;
    private final CallHandler calls;
    private final StageHandler stages;
    private final StepBatcher batcher;
    private final OutputSender sender;
    private final TableSource tables;
    private final Runnable sendHeartbeat;
    private final CrashSuspects suspects;
    private final StopSwitch stopSwitch;
    private final BackendKind kind;
    private final OrderHandler orders;
    private final BackendMonitor backendMonitor;
    private final Map<Link, Heartbeat> entryHeartbeats = new HashMap<>();
    private final Set<String> setAside = new TreeSet<>();
    private long nextTableRequestAt;
    private final SettlementWriter settlement;
    private final long pauseThresholdNanos;
    private final long refreshIntervalNanos;
    private long lastTickAt;
    private long refreshedAt;
    private boolean leaving;
    private boolean settlementStarted;
    private long settlementDueAt;
    private volatile Heartbeat heartbeat;

    Agent(AgentParts parts) {
        this.clock = parts.clock();
        this.completions = parts.completions();
        this.calls = parts.calls();
        this.stages = parts.stages();
        this.batcher = parts.batcher();
        this.sender = parts.sender();
        this.tables = parts.tables();
        this.sendHeartbeat = parts.sendHeartbeat();
        this.suspects = parts.suspects();
        this.stopSwitch = parts.stopSwitch();
        this.settlement = parts.settlement();
        this.orders = parts.orders();
        this.kind = parts.settings().backend().orElseThrow().kind();
        this.refreshIntervalNanos =
                parts.settings().timing().heartbeatMillis() * NANOS_PER_MILLI / REFRESHES_PER_HEARTBEAT;
        this.pauseThresholdNanos = parts.settings().timing().backendTimeoutMillis() * NANOS_PER_MILLI / 2;
        this.backendMonitor = new BackendMonitor(
                parts.offers(), completions, clock, parts.settings().timing().backendTimeoutMillis(), this);
        sender.setLocalSteps(stages::step);
        batcher.setCollaborators(stages, sender);
        batcher.setMonitor(backendMonitor);
        calls.setMonitor(backendMonitor);
        this.heartbeat = buildHeartbeat();
    }

    /** Handles one event. */
    void handle(AgentEvent event) {
        Moment now = clock.get();
        if (event instanceof AgentEvent.Task task) {
            task.action().run();
        } else if (event instanceof AgentEvent.MessageReceived received) {
            receive(received.link(), received.message(), now);
        } else if (event instanceof AgentEvent.LinkOpened opened) {
            onLinkOpened(opened.link(), now);
        } else if (event instanceof AgentEvent.LinkClosed closed) {
            entryHeartbeats.remove(closed.link());
        }
        if (state() != heartbeat.state()) {
            refreshHeartbeat();
        }
    }

    /** Runs the work that depends on time. */
    void tick() {
        Moment now = clock.get();
        detectProcessPause(now);
        completions.runOverflow();
        entryHeartbeats.keySet().removeIf(link -> !link.isOpen());
        suspects.tick(now);
        backendMonitor.tick(now);
        calls.tick(now);
        stages.tick(now);
        batcher.tick(now);
        orders.tick(now);
        if (leaving) {
            advanceStop(now);
        }
        if (now.nanos() - refreshedAt >= refreshIntervalNanos) {
            refreshHeartbeat();
        }
    }

    /**
     * Detects that this process was paused. Without this, a backend server that answered during the pause would be
     * taken for unresponsive, since its answers are still unread.
     */
    private void detectProcessPause(Moment now) {
        long paused = now.nanos() - lastTickAt;
        if (lastTickAt != 0 && paused > pauseThresholdNanos) {
            LOG.log(System.Logger.Level.WARNING, "agent: this process was paused; millis=" + paused / NANOS_PER_MILLI);
            backendMonitor.processResumed(now);
            batcher.processResumed(paused);
        }
        lastTickAt = now.nanos();
    }

    private void onLinkOpened(Link link, Moment now) {
        if (link.peer().entry()) {
            entryHeartbeats.put(link, EMPTY_HEARTBEAT);
        }
        sender.linkOpened(link, stages.stages(), now);
        stages.linkOpened(link, now);
    }

    private static final Heartbeat EMPTY_HEARTBEAT = new Heartbeat(
            AgentState.ACTIVE,
            AgentLoad.IDLE,
            Optional.empty(),
            0,
            TermGuard.UNKNOWN,
            List.of(),
            List.of(),
            Map.of(),
            Map.of());

    private void receive(Link link, Message message, Moment now) {
        if (message instanceof Step step) {
            stages.step(step, now);
        } else if (message instanceof Heartbeat beat) {
            onHeartbeat(link, beat, now);
        } else if (message instanceof Invoke invoke) {
            calls.invoke(link, invoke, refusal(BackendKind.SERVICE), now);
        } else if (message instanceof Settle settle) {
            calls.settle(link, settle, now);
        } else if (message instanceof OpenStage open) {
            stages.open(link, open, refusal(BackendKind.ENGINE), now);
        } else if (message instanceof SendFrom from) {
            stages.sendFrom(from, now);
        } else if (message instanceof CloseStage close) {
            stages.close(close);
        } else if (message instanceof ExportStage export) {
            stages.export(export);
        } else if (message instanceof Order order) {
            orders.order(link, order);
        } else if (message instanceof Drain drain) {
            LOG.log(System.Logger.Level.INFO, "agent: received a request to stop; by=" + drain.by());
            stopSwitch.stop();
        } else if (message instanceof TableRequest request) {
            sendTable(link, request);
        } else if (message instanceof TableUpdate update) {
            applyTable(update);
        } else {
            LOG.log(
                    System.Logger.Level.DEBUG,
                    "agent: ignored a message of a type that an agent does not handle; peer="
                            + link.peer().process() + " type="
                            + message.getClass().getSimpleName());
        }
    }

    private void onHeartbeat(Link link, Heartbeat beat, Moment now) {
        orders.observeTerm(beat.term());
        if (link.peer().entry()) {
            entryHeartbeats.put(link, beat);
            beat.setAside().stream().limit(MAX_SET_ASIDE).forEach(setAside::add);
            if (setAside.size() > MAX_SET_ASIDE) {
                setAside.retainAll(beat.setAside());
            }
        }
        if (beat.tableOffset() > tables.current().offset() && now.nanos() - nextTableRequestAt >= 0) {
            nextTableRequestAt = now.plusMillis(TABLE_REQUEST_INTERVAL_MILLIS);
            link.send(new TableRequest(tables.current().offset()));
        }
    }

    private void sendTable(Link link, TableRequest request) {
        long offset = tables.current().offset();
        if (offset > request.above()) {
            link.send(new TableUpdate(offset, tables.snapshotAbove(request.above())));
        }
    }

    private void applyTable(TableUpdate update) {
        if (tables.applySnapshot(update.offset(), update.snapshot())) {
            sendHeartbeat.run();
        }
    }

    /** The reason why new work is refused now; empty if it is accepted. */
    private Optional<KeyResult> refusal(BackendKind needed) {
        if (kind != needed) {
            return Optional.of(KeyResult.notRun(
                    ProblemKind.NO_BACKEND_SERVER, "The backend server of this agent is of another kind", 0));
        }
        return switch (state()) {
            case ACTIVE -> Optional.empty();
            case LEAVING ->
                Optional.of(KeyResult.notRun(ProblemKind.LEAVING, "The agent is stopping and accepts no new work", 0));
            case STARTING ->
                Optional.of(KeyResult.notRun(
                        ProblemKind.NOT_READY, "The backend server has not answered yet", RETRY_MILLIS));
            case BACKEND_DOWN ->
                Optional.of(KeyResult.notRun(ProblemKind.BACKEND_FAILED, "The backend server is down", RETRY_MILLIS));
        };
    }

    private static final long RETRY_MILLIS = 500;

    @Override
    public void offerReceived(Offer offer) {
        calls.setSlots(offer.slots());
        batcher.setSlots(offer.slots());
    }

    @Override
    public void restarted() {
        LOG.log(
                System.Logger.Level.WARNING,
                "agent: the backend server has restarted; sessions=" + stages.count() + " calls="
                        + calls.runningCount());
        List<String> running = new ArrayList<>(calls.abandonRunning());
        running.addAll(stages.abandonAll());
        suspects.recordCrash(running, clock.get());
        refreshHeartbeat();
        sendHeartbeat.run();
    }

    /**
     * Keeps the calls that run at the backend server: a server that stops gracefully accepts no new connection but
     * still answers them. Drops the sessions, since rebuilding them elsewhere changes no outcome.
     */
    @Override
    public void unreachable(String why) {
        LOG.log(
                System.Logger.Level.WARNING,
                "agent: the backend server is down; why=" + why + " sessions=" + stages.count() + " calls="
                        + calls.runningCount());
        suspects.recordCrash(stages.abandonAll(), clock.get());
        calls.refuseWaiting(KeyResult.notRun(ProblemKind.BACKEND_FAILED, "The backend server is down", RETRY_MILLIS));
        refreshHeartbeat();
        sendHeartbeat.run();
    }

    /**
     * Begins the planned stop: refuses new work from now on and announces this with an extra heartbeat. Work in
     * progress continues; when it has ended, or shortly before the limit, the result of each key is written to the log.
     */
    void beginStop(Moment limit) {
        if (leaving) {
            return;
        }
        leaving = true;
        Moment now = clock.get();
        long allowed = now.millisTo(limit.nanos());
        settlementDueAt =
                limit.nanos() - Math.min(allowed / SETTLEMENT_TIME_DIVISOR, MAX_SETTLEMENT_MILLIS) * NANOS_PER_MILLI;
        refreshHeartbeat();
        sendHeartbeat.run();
    }

    private void advanceStop(Moment now) {
        boolean workDone = calls.isIdle() && stages.count() == 0;
        if (workDone || now.nanos() - settlementDueAt >= 0) {
            if (!settlementStarted) {
                settlementStarted = true;
                calls.refuseWaiting(KeyResult.notRun(ProblemKind.LEAVING, "The agent stops", 0));
                settlement.begin(calls.finalResults());
            }
            settlement.tick(now);
        }
    }

    /** Whether no work is in progress and the final result of each key is on the log. */
    boolean isStopped() {
        return leaving && calls.isIdle() && stages.count() == 0 && settlement.isWritten();
    }

    private AgentState state() {
        return leaving ? AgentState.LEAVING : backendMonitor.state();
    }

    private void refreshHeartbeat() {
        AgentState before = heartbeat.state();
        Heartbeat next = buildHeartbeat();
        refreshedAt = clock.get().nanos();
        if (next.equals(heartbeat)) {
            return;
        }
        heartbeat = next;
        if (before != heartbeat.state()) {
            LOG.log(System.Logger.Level.INFO, "agent: state changed; from=" + before + " to=" + heartbeat.state());
            sendHeartbeat.run();
        }
    }

    private Heartbeat buildHeartbeat() {
        return new Heartbeat(
                state(),
                load(),
                backendMonitor.offer(),
                tables.current().offset(),
                orders.newestTerm(),
                List.copyOf(setAside),
                suspects.recentReports(),
                Map.of(),
                demand());
    }

    private AgentLoad load() {
        int running = calls.runningCount();
        int waiting = calls.waitingCount();
        long queued = 0;
        for (Stage stage : stages.stages()) {
            running += stage.session.running() > 0 ? 1 : 0;
            waiting += stage.session.isReady() ? 1 : 0;
            queued += Math.max(0, stage.session.spec().positionLimit() - stage.session.position());
        }
        long mean = Math.max(calls.meanMicros(), batcher.meanMicros());
        return new AgentLoad(running, waiting, queued, batcher.positionsPerSecond(), mean, entryHeartbeats.size());
    }

    private Map<String, Double> demand() {
        Map<String, Double> sum = new TreeMap<>();
        for (Heartbeat beat : entryHeartbeats.values()) {
            beat.demand().forEach((row, rate) -> sum.merge(row, rate, Double::sum));
        }
        return sum;
    }

    /** The content of the next heartbeat. */
    Heartbeat heartbeat() {
        return heartbeat;
    }
}
