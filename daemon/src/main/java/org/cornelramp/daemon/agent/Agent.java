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
 * The agent's state and what it does with each event.
 *
 * <p>Confined to the agent's duty, but for {@link #heartbeat}, which any thread may read. What decides here is the
 * agent's own memory and never a lease: an agent that was paused for any time and wakes goes on with the same
 * ledger and the same sessions. Its late frames carry old epochs or keys that are bound to it alone, so they change
 * nothing elsewhere.
 */
final class Agent implements BackendWatch.Listener {
    private static final System.Logger LOG = System.getLogger(Agent.class.getName());
    private static final int MAX_SET_ASIDE = 32;
    private static final long TABLE_ASK_MILLIS = 200;
    private static final long MILLI = 1_000_000L;
    /** How often in each heartbeat interval the load is summed up anew. */
    private static final int REFRESHES = 3;

    /** Part of the time for a stop, and most of it, that is kept for writing the keys on the log. */
    private static final int SETTLE_PART = 5;

    private static final long SETTLE_MILLIS = 5_000;

    private final Supplier<Moment> clock;
    private final Completions completions;
    private final CallHandler calls;
    private final StageHandler stages;
    private final EngineStepper stepper;
    private final OutputSender sender;
    private final TableSource tables;
    private final Runnable beatNow;
    private final CrashSuspects suspects;
    private final StopSwitch stopSwitch;
    private final BackendKind kind;
    private final OrderHandler orders;
    private final BackendWatch backend;
    private final Map<Link, Heartbeat> entries = new HashMap<>();
    private final Set<String> setAside = new TreeSet<>();
    private long nextTableAskAt;
    private final SettlementWriter settlement;
    private final long pauseNanos;
    private final long refreshNanos;
    private long lastTickAt;
    private long refreshedAt;
    private boolean leaving;
    private boolean settling;
    private long settleAt;
    private volatile Heartbeat heartbeat;

    Agent(AgentParts parts) {
        this.clock = parts.clock();
        this.completions = parts.completions();
        this.calls = parts.calls();
        this.stages = parts.stages();
        this.stepper = parts.stepper();
        this.sender = parts.sender();
        this.tables = parts.tables();
        this.beatNow = parts.beatNow();
        this.suspects = parts.suspects();
        this.stopSwitch = parts.stopSwitch();
        this.settlement = parts.settlement();
        this.orders = parts.orders();
        this.kind = parts.settings().backend().orElseThrow().kind();
        this.refreshNanos = parts.settings().timing().heartbeatMillis() * MILLI / REFRESHES;
        this.pauseNanos = parts.settings().timing().backendTimeoutMillis() * MILLI / 2;
        this.backend = new BackendWatch(
                parts.offers(), completions, clock, parts.settings().timing().backendTimeoutMillis(), this);
        sender.join(stages::step);
        stepper.join(stages, sender);
        stepper.watch(backend);
        calls.watch(backend);
        this.heartbeat = buildHeartbeat();
    }

    /** Handles one event. */
    void handle(AgentEvent event) {
        Moment now = clock.get();
        if (event instanceof AgentEvent.Completed completed) {
            completed.then().run();
        } else if (event instanceof AgentEvent.Received received) {
            receive(received.link(), received.message(), now);
        } else if (event instanceof AgentEvent.Opened opened) {
            opened(opened.link(), now);
        } else if (event instanceof AgentEvent.Closed closed) {
            entries.remove(closed.link());
        }
        if (state() != heartbeat.state()) {
            refresh();
        }
    }

    /** Does what is due by time. */
    void tick() {
        Moment now = clock.get();
        noticeOwnPause(now);
        completions.runAside();
        entries.keySet().removeIf(link -> !link.isOpen());
        suspects.tick(now);
        backend.tick(now);
        calls.tick(now);
        stages.tick(now);
        stepper.tick(now);
        orders.tick(now);
        if (leaving) {
            stopStep(now);
        }
        if (now.nanos() - refreshedAt >= refreshNanos) {
            refresh();
        }
    }

    /** After a pause of this process a backend server that answered all the time would look silent. */
    private void noticeOwnPause(Moment now) {
        long paused = now.nanos() - lastTickAt;
        if (lastTickAt != 0 && paused > pauseNanos) {
            LOG.log(System.Logger.Level.WARNING, "agent: this process stood still; millis=" + paused / MILLI);
            backend.woke(now);
            stepper.woke(paused);
        }
        lastTickAt = now.nanos();
    }

    private void opened(Link link, Moment now) {
        if (link.peer().entry()) {
            entries.put(link, EMPTY);
        }
        sender.opened(link, stages.stages(), now);
        stages.linkOpened(link, now);
    }

    private static final Heartbeat EMPTY = new Heartbeat(
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
            heard(link, beat, now);
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
            LOG.log(System.Logger.Level.INFO, "agent: asked to stop; by=" + drain.by());
            stopSwitch.stop();
        } else if (message instanceof TableRequest request) {
            giveTable(link, request);
        } else if (message instanceof TableUpdate update) {
            takeTable(update);
        } else {
            LOG.log(
                    System.Logger.Level.DEBUG,
                    "agent: a message has no meaning here; peer=" + link.peer().process() + " type="
                            + message.getClass().getSimpleName());
        }
    }

    private void heard(Link link, Heartbeat beat, Moment now) {
        orders.heard(beat.term());
        if (link.peer().entry()) {
            entries.put(link, beat);
            beat.setAside().stream().limit(MAX_SET_ASIDE).forEach(setAside::add);
            if (setAside.size() > MAX_SET_ASIDE) {
                setAside.retainAll(beat.setAside());
            }
        }
        if (beat.tableOffset() > tables.current().offset() && now.nanos() - nextTableAskAt >= 0) {
            nextTableAskAt = now.plusMillis(TABLE_ASK_MILLIS);
            link.send(new TableRequest(tables.current().offset()));
        }
    }

    private void giveTable(Link link, TableRequest request) {
        long offset = tables.current().offset();
        if (offset > request.above()) {
            link.send(new TableUpdate(offset, tables.snapshotAbove(request.above())));
        }
    }

    private void takeTable(TableUpdate update) {
        if (tables.takeSnapshot(update.offset(), update.snapshot())) {
            beatNow.run();
        }
    }

    /** Why no new work is taken now; empty if it is taken. */
    private Optional<KeyResult> refusal(BackendKind needed) {
        if (kind != needed) {
            return Optional.of(
                    KeyResult.notRun(ProblemKind.NO_BACKEND_SERVER, "The backend server here is of another kind", 0));
        }
        return switch (state()) {
            case ACTIVE -> Optional.empty();
            case LEAVING ->
                Optional.of(KeyResult.notRun(ProblemKind.LEAVING, "The agent finishes its work and takes no more", 0));
            case STARTING ->
                Optional.of(KeyResult.notRun(
                        ProblemKind.NOT_READY, "The backend server has not answered yet", RETRY_MILLIS));
            case BACKEND_DOWN ->
                Optional.of(KeyResult.notRun(ProblemKind.BACKEND_FAILED, "The backend server is down", RETRY_MILLIS));
        };
    }

    private static final long RETRY_MILLIS = 500;

    @Override
    public void offered(Offer offer) {
        calls.slots(offer.slots());
        stepper.slots(offer.slots());
    }

    @Override
    public void restarted() {
        LOG.log(
                System.Logger.Level.WARNING,
                "agent: the backend server has started anew; sessions=" + stages.count() + " calls="
                        + calls.runningCount());
        List<String> running = new ArrayList<>(calls.backendDied());
        running.addAll(stages.backendDied());
        suspects.crashed(running, clock.get());
        refresh();
        beatNow.run();
    }

    /**
     * Calls at the backend server are left alone: one that stops gracefully takes no new connection and still
     * answers them. A session is given up, since rebuilding it elsewhere changes no outcome.
     */
    @Override
    public void unreachable(String why) {
        LOG.log(
                System.Logger.Level.WARNING,
                "agent: the backend server is down; why=" + why + " sessions=" + stages.count() + " calls="
                        + calls.runningCount());
        suspects.crashed(stages.backendDied(), clock.get());
        calls.refuseWaiting(KeyResult.notRun(ProblemKind.BACKEND_FAILED, "The backend server is down", RETRY_MILLIS));
        refresh();
        beatNow.run();
    }

    /**
     * Begins the planned stop: takes no new work from now on, and says so at once. Work in progress goes on; when it
     * has ended, or shortly before the limit, what became of each key is written on the log.
     */
    void leave(Moment limit) {
        if (leaving) {
            return;
        }
        leaving = true;
        Moment now = clock.get();
        long allowed = now.millisTo(limit.nanos());
        settleAt = limit.nanos() - Math.min(allowed / SETTLE_PART, SETTLE_MILLIS) * MILLI;
        refresh();
        beatNow.run();
    }

    private void stopStep(Moment now) {
        boolean worked = calls.isIdle() && stages.count() == 0;
        if (worked || now.nanos() - settleAt >= 0) {
            if (!settling) {
                settling = true;
                calls.refuseWaiting(KeyResult.notRun(ProblemKind.LEAVING, "The agent stops", 0));
                settlement.begin(calls.lastWords());
            }
            settlement.tick(now);
        }
    }

    /** Whether no work is in progress and each key's last word is on the log. */
    boolean isStopped() {
        return leaving && calls.isIdle() && stages.count() == 0 && settlement.isWritten();
    }

    private AgentState state() {
        return leaving ? AgentState.LEAVING : backend.state();
    }

    private void refresh() {
        AgentState before = heartbeat.state();
        Heartbeat next = buildHeartbeat();
        refreshedAt = clock.get().nanos();
        if (next.equals(heartbeat)) {
            return;
        }
        heartbeat = next;
        if (before != heartbeat.state()) {
            LOG.log(System.Logger.Level.INFO, "agent: state changed; from=" + before + " to=" + heartbeat.state());
            beatNow.run();
        }
    }

    private Heartbeat buildHeartbeat() {
        return new Heartbeat(
                state(),
                load(),
                backend.offer(),
                tables.current().offset(),
                orders.newestTerm(),
                List.copyOf(setAside),
                suspects.crashed(),
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
        long mean = Math.max(calls.meanMicros(), stepper.meanMicros());
        return new AgentLoad(running, waiting, queued, stepper.positionsPerSecond(), mean, entries.size());
    }

    private Map<String, Double> demand() {
        Map<String, Double> sum = new TreeMap<>();
        for (Heartbeat beat : entries.values()) {
            beat.demand().forEach((row, rate) -> sum.merge(row, rate, Double::sum));
        }
        return sum;
    }

    /** What the next heartbeat says. */
    Heartbeat heartbeat() {
        return heartbeat;
    }
}
