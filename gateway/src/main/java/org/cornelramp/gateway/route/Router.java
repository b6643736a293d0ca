package org.cornelramp.gateway.route;

import java.util.SplittableRandom;
import org.cornelramp.core.settings.GatewaySettings;
import org.cornelramp.core.shutdown.ShutdownPolicy;
import org.cornelramp.daemon.kernel.EventLoop;
import org.cornelramp.gateway.HttpClients;
import org.cornelramp.gateway.SteadyClock;
import org.cornelramp.gateway.log.EventLog;
import org.cornelramp.gateway.metrics.Meters;
import org.cornelramp.gateway.peer.PeerUpdate;
import org.cornelramp.gateway.request.Attempt;
import org.cornelramp.gateway.request.AttemptEnd;

/**
 * The thread that routes requests, and the bounded ring buffer through which other threads reach it. Safe for use by
 * any thread.
 */
public final class Router {
    private static final int RING_CAPACITY = 8_192;

    private final EventLoop<RouterEvent> eventLoop;
    private final RequestRouter requestRouter;
    private final AttemptEndOverflow overflow = new AttemptEndOverflow(this::offer);
    private final SteadyClock clock;

    /**
     * @param clients send the requests
     * @param engineControl reads engines' reports and sends them orders
     */
    public Router(
            GatewaySettings settings,
            HttpClients clients,
            ConfigHolder config,
            SteadyClock clock,
            EventLog log,
            Meters meters,
            AsyncEngineControl engineControl) {
        this.clock = clock;
        // A request that may not be retried must not use a pooled connection, which its server may just be closing.
        this.requestRouter = new RequestRouter(
                settings,
                route -> route.mayRetry() ? clients.pooled() : clients.unpooled(),
                config,
                clock,
                log,
                meters,
                engineControl,
                new SplittableRandom(),
                this::offer,
                this::offerAttemptEnd);
        this.eventLoop = new EventLoop<>("router", RING_CAPACITY, this::handle, this::tick, RequestRouter.TICK_MILLIS);
    }

    /** Starts the router's thread. */
    public void start() {
        eventLoop.start();
    }

    /** Stops the router's thread. */
    public void stop() {
        eventLoop.stop();
    }

    /** Queues an event for the router's thread; false if the ring buffer is full. */
    public boolean offer(RouterEvent event) {
        return eventLoop.offer(event);
    }

    private void offerAttemptEnd(Attempt attempt, AttemptEnd end) {
        overflow.offer(new RouterEvent.AttemptEnded(attempt, end));
    }

    private void handle(RouterEvent event) {
        overflow.drain(ended -> requestRouter.handle(ended, clock.millis()));
        requestRouter.handle(event, clock.millis());
    }

    private void tick() {
        overflow.drain(ended -> requestRouter.handle(ended, clock.millis()));
        requestRouter.tick(clock.millis());
    }

    /** Number of requests in progress. */
    public int activeRequestCount() {
        return requestRouter.activeRequestCount();
    }

    /** Longest delay of the router's ticks since the last call, in milliseconds. */
    public long takeLongestLagMillis() {
        return requestRouter.tickLag().takeLongest(clock.millis());
    }

    /** The state of the backend servers as of the last tick. */
    public FleetView view() {
        return requestRouter.view();
    }

    /** The update that this process sends to its peers. */
    public PeerUpdate currentUpdate() {
        return requestRouter.peerUpdates().currentUpdate();
    }

    /** Passes statuses of gateways between the updates and the capacity monitor. */
    public CapacityExchange capacity() {
        return requestRouter.peerUpdates().capacity();
    }

    /** Marks this process as stopping in the updates to its peers. */
    public void announceStop() {
        requestRouter.peerUpdates().announceStop();
    }

    /** Decides which requests are accepted while this process stops. */
    public ShutdownPolicy shutdown() {
        return requestRouter.shutdownPolicy();
    }

    /** Whether there is a peer that is not stopping. */
    public boolean hasStayingPeer() {
        return requestRouter.peerUpdates().hasStayingPeer();
    }

    /** Queues a peer's update for the router's thread; dropped if the ring buffer is full. */
    public void receivePeerUpdate(PeerUpdate update) {
        offer(new RouterEvent.PeerUpdateReceived(update));
    }
}
