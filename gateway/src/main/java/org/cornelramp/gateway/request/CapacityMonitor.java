package org.cornelramp.gateway.request;

import java.util.Collection;
import java.util.Locale;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.cornelramp.core.member.CapacityController;
import org.cornelramp.core.member.CapacityDecision;
import org.cornelramp.core.member.GatewayLoad;
import org.cornelramp.core.member.GatewayLoadMeter;
import org.cornelramp.core.member.GatewayStatus;
import org.cornelramp.core.member.PeerStatus;
import org.cornelramp.core.member.PeerSummary;
import org.cornelramp.core.settings.GatewaySettings;
import org.cornelramp.daemon.kernel.StepGuard;
import org.cornelramp.gateway.SteadyClock;
import org.cornelramp.gateway.log.EventLog;
import org.cornelramp.gateway.metrics.Meters;

/**
 * Measures the load of this gateway on a thread of its own, twice a second, and publishes what {@link CapacityController}
 * decides. Safe for use by any thread; {@link #update} is called by the own thread only.
 *
 * <p>Invariant: until the first decisions, and when the thread has stalled, no connection is closed and the gateway is
 * ready.
 */
public final class CapacityMonitor {
    private static final long INTERVAL_MILLIS = 500;

    /**
     * Delay of the first measurement. Loading the classes that read the processor time would take processor time from a
     * start, while clients wait.
     */
    private static final long INITIAL_DELAY_MILLIS = 10_000;

    private final Sources sources;
    private final SteadyClock clock;
    private final EventLog log;
    private final Meters meters;
    private final GatewayLoadMeter meter;
    private final CapacityController controller;
    private final Thread thread = new Thread(this::run, "capacity");
    private volatile CapacityDecision decision;
    private volatile boolean running = true;

    /**
     * Where the inputs come from; the suppliers are called by the thread of the monitor. Immutable.
     *
     * @param processorNanos processor time that this process has used; negative if it is not known
     * @param longestLagMillis longest delay of the router's ticks since the last call
     * @param requests requests in progress
     * @param peers the statuses of the other gateways of the data centre
     */
    public record Sources(
            LongSupplier processorNanos,
            LongSupplier longestLagMillis,
            IntSupplier requests,
            Supplier<? extends Collection<PeerStatus>> peers) {}

    public CapacityMonitor(
            String name,
            GatewaySettings.Limits limits,
            Sources sources,
            SteadyClock clock,
            EventLog log,
            Meters meters) {
        this.sources = sources;
        this.clock = clock;
        this.log = log;
        this.meters = meters;
        this.meter = new GatewayLoadMeter(limits.capacityCores());
        this.controller = new CapacityController(name, limits.capacityCores(), clock.millis());
        this.decision = controller.decision();
        thread.setDaemon(true);
        meters.gauge("capacity.cores", () -> decision.capacityCores());
        meters.gauge("capacity.load", () -> decision.load());
        meters.gauge("capacity.unready.seconds", () -> decision.unreadyMillis() / 1_000.0);
    }

    /** Starts the thread. */
    public void start() {
        thread.start();
    }

    /** Asks the thread to end; does not wait for it. */
    public void stop() {
        running = false;
        LockSupport.unpark(thread);
    }

    private void run() {
        clock.pause(INITIAL_DELAY_MILLIS);
        Runnable update = this::update;
        Consumer<Throwable> onFailure = this::logFailure;
        while (running) {
            StepGuard.run(update, onFailure);
            clock.pause(INTERVAL_MILLIS);
        }
    }

    private void logFailure(Throwable failure) {
        meters.countException("capacity");
        log.line("capacity", "exception").with("why", failure).write();
    }

    /** Measures the load, decides, and logs a change. */
    void update() {
        long now = clock.millis();
        GatewayLoadMeter.Measurement measurement = new GatewayLoadMeter.Measurement(
                sources.processorNanos().getAsLong(),
                sources.longestLagMillis().getAsLong(),
                sources.requests().getAsInt(),
                now);
        CapacityDecision before = decision;
        var load = meter.record(measurement);
        decision = controller.update(load, sources.peers().get(), now);
        if (decision.state() != before.state() || decision.closing() != before.closing()) {
            logChange(before, decision, load.orElse(new GatewayLoad(0, 0, 0)));
        }
    }

    private void logChange(CapacityDecision before, CapacityDecision after, GatewayLoad load) {
        PeerSummary peers = after.peers();
        log.line("capacity", "changed")
                .with("state", after.state().name().toLowerCase(Locale.ROOT))
                .with("was", before.state().name().toLowerCase(Locale.ROOT))
                .with("closing", after.closing())
                .with("closeShare", format(after.closeShare()))
                .with("load", format(after.load()))
                .with("processorShare", format(load.processorShare()))
                .with("lagMillis", load.lagMillis())
                .with("requests", load.requests())
                .with("cores", after.capacityCores())
                .with("peers", peers.known())
                .with("fresh", peers.fresh())
                .with("away", peers.away())
                .with("quota", peers.quota())
                .with("relieving", peers.relieving())
                .with("before", peers.before())
                .with("oldestMillis", peers.oldestMillis())
                .with("unreadyMillis", after.unreadyMillis())
                .write();
    }

    private static String format(double value) {
        return String.format(Locale.ROOT, "%.3f", value);
    }

    /** Whether to close the connection after the response that is about to begin; to be asked once for each response. */
    boolean closesNext() {
        double share = decision.closeShare(clock.millis());
        boolean closes = share > 0 && ThreadLocalRandom.current().nextDouble() < share;
        if (closes) {
            meters.countCapacityClose();
        }
        return closes;
    }

    /** Whether the load lets this gateway be ready. */
    boolean isReady() {
        return decision.isReady(clock.millis());
    }

    /**
     * The status to report to peers.
     *
     * @param otherwiseReady whether nothing else keeps this gateway from being ready
     */
    public GatewayStatus status(boolean otherwiseReady) {
        return decision.status(otherwiseReady);
    }
}
