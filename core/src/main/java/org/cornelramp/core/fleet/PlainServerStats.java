package org.cornelramp.core.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.cornelramp.core.model.BackendServerId;

/**
 * What this process has observed of the plain servers: its requests in flight, their latency and failures, and what the
 * servers have reported. The only copy, which all selectors read. Owned by one thread.
 *
 * <p>Invariant: the statistics of an incarnation do not carry over to the next one.
 */
public final class PlainServerStats {
    /** Latency assumed for a server that has not answered yet, in milliseconds. */
    static final double INITIAL_LATENCY_MILLIS = 60;

    private final Map<BackendServerId, PlainServerRecord> records = new HashMap<>();

    /** How a request to a plain server ended. Immutable, safe for use by any thread. */
    public enum Outcome {
        /** The server answered without a failure. */
        SUCCEEDED,
        /** The server failed, or its answer was an error. */
        FAILED,
        /** The server refused the request because it was full, and did not run it. */
        SHED,
        /** This process gave the request up, which says nothing about the server but that it had not answered. */
        ABANDONED
    }

    /** Records that a request was sent. */
    public void requestSent(BackendServerId id, long nowMillis) {
        record(id).sent(nowMillis);
    }

    /**
     * Records how a request ended.
     *
     * @param millis time from sending to the end
     * @return whether the server is known to be full from now on, and was not before
     */
    public boolean requestEnded(BackendServerId id, Outcome outcome, long millis, long nowMillis) {
        boolean wasFull = millisUntilSlot(id, nowMillis) > 0;
        record(id).ended(outcome, millis, nowMillis);
        return !wasFull && millisUntilSlot(id, nowMillis) > 0;
    }

    /**
     * Records the load that a server has reported.
     *
     * @param requests requests that run or wait there
     * @param slots requests that it can run at once
     * @return whether the server is known to be full from now on, and was not before
     */
    public boolean loadReported(BackendServerId id, int requests, int slots, long nowMillis) {
        boolean wasFull = millisUntilSlot(id, nowMillis) > 0;
        record(id).reported(Math.max(0, requests), slots, nowMillis);
        return !wasFull && millisUntilSlot(id, nowMillis) > 0;
    }

    /**
     * Records what a server's registration says about its start.
     *
     * @param coldRemainingMillis time for which it stays slower; 0 if it is not cold
     */
    public void coldReported(BackendServerId id, long coldRemainingMillis, long nowMillis) {
        if (coldRemainingMillis > 0 || records.containsKey(id)) {
            record(id).registeredCold(coldRemainingMillis, nowMillis);
        }
    }

    /** Number of requests that this process has in flight at the server. */
    public int inFlight(BackendServerId id) {
        return find(id).map(PlainServerRecord::inFlight).orElse(0);
    }

    /** Time until a slot is expected to be free at a server that is known to be full; 0 at any other. */
    public long millisUntilSlot(BackendServerId id, long nowMillis) {
        return find(id).map(known -> known.millisUntilSlot(nowMillis)).orElse(0L);
    }

    /** Drops the statistics of servers that are no longer known. */
    public void retain(Predicate<BackendServerId> known) {
        records.keySet().removeIf(id -> !known.test(id));
    }

    Optional<PlainServerRecord> find(BackendServerId id) {
        return Optional.ofNullable(records.get(id));
    }

    /** What was observed of a server, to be read only; without observations if there are none. */
    PlainServerRecord observed(BackendServerId id) {
        return find(id).orElseGet(PlainServerRecord::new);
    }

    PlainServerRecord record(BackendServerId id) {
        return records.computeIfAbsent(id, any -> new PlainServerRecord());
    }
}
