package org.cornelramp.gateway.route;

import java.util.HashSet;
import java.util.Set;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.core.path.StagePath;
import org.cornelramp.core.routing.Route;
import org.cornelramp.gateway.request.Attempt;
import org.cornelramp.gateway.request.Exchange;

/** A request under way, as the router sees it. Owned by the router's duty. */
final class Flight {
    private final Exchange exchange;
    private final ServiceName service;
    private int tokens;
    private final Set<BackendServerId> avoid = new HashSet<>();
    private final Set<BackendServerId> firsts = new HashSet<>();
    private Attempt attempt;
    private StagePath loaded;
    private int reading;
    private int sent;
    private int mayHaveRun;
    private int runsWithoutEvents;
    private boolean moving;
    private int moves;
    private boolean begun;
    private boolean staying;
    private boolean owesRepeat;
    private boolean awaitingPath;
    private long awaitingPathSinceMillis;
    private long triedMillis = Long.MIN_VALUE / 2;
    private long lookedMillis = Long.MIN_VALUE / 2;
    private long leavingSinceMillis;

    /** @param tokens tokens that the request is expected to take in the end; 0 for a plain service */
    Flight(Exchange exchange, ServiceName service, int tokens) {
        this.exchange = exchange;
        this.service = service;
        this.tokens = tokens;
    }

    Exchange exchange() {
        return exchange;
    }

    Route route() {
        return exchange.call().route();
    }

    ServiceName service() {
        return service;
    }

    int tokens() {
        return tokens;
    }

    /** Sets the tokens of a request that did not tell any. */
    void expectTokens(int usual) {
        tokens = tokens > 0 ? tokens : usual;
    }

    /** Servers that failed this request. */
    Set<BackendServerId> avoid() {
        return avoid;
    }

    /** Engines that took it and may have run it. */
    Set<BackendServerId> firsts() {
        return firsts;
    }

    /** The attempt under way; null if none is. */
    Attempt attempt() {
        return attempt;
    }

    void begin(Attempt next) {
        attempt = next;
        sent++;
        moves = 0;
        moving = false;
        begun = false;
        staying = false;
        awaitingPath = false;
        leavingSinceMillis = 0;
        lookedMillis = Long.MIN_VALUE / 2;
    }

    void endAttempt(boolean surelyNotRun) {
        boolean events = exchange.lastEventMillis() > attempt.startMillis();
        runsWithoutEvents = events ? 0 : runsWithoutEvents + (surelyNotRun ? 0 : 1);
        attempt = null;
        moving = false;
        mayHaveRun += surelyNotRun ? 0 : 1;
    }

    /** Attempts so far. */
    int sent() {
        return sent;
    }

    /** Attempts after which the request may have run. */
    int mayHaveRun() {
        return mayHaveRun;
    }

    /**
     * Attempts that count towards the most that are made.
     *
     * @param crashing whether it seems to crash the engines that run it; then events that it brought speak for no more runs
     */
    int attemptsThatCount(boolean crashing) {
        if (!exchange.isCommitted()) {
            return sent;
        }
        return crashing ? mayHaveRun : runsWithoutEvents;
    }

    /** Notes that events of the attempt under way have come; true if that was not known. */
    boolean markBegun() {
        boolean first = !begun;
        begun = true;
        return first;
    }

    /** Whether its next attempt takes one of the repeats, as the last one may have reached a server. */
    boolean owesRepeat() {
        return owesRepeat;
    }

    void setOwesRepeat(boolean now) {
        owesRepeat = now;
    }

    /** The path whose engines bear this request's load; null for none. */
    StagePath loaded() {
        return loaded;
    }

    void setLoaded(StagePath path) {
        loaded = path;
    }

    /** Prompt tokens that its engines still have to read. */
    int reading() {
        return reading;
    }

    void setReading(int prompt) {
        reading = prompt;
    }

    /** Whether an order to move it to another path is under way. */
    boolean isMoving() {
        return moving;
    }

    void setMoving(boolean now) {
        moving = now;
    }

    /** Orders so far to move the attempt under way. */
    int moves() {
        return moves;
    }

    void countMove() {
        moves++;
    }

    /** Whether a server may be looked for again, so long after the last time; a look that is due counts as made. */
    boolean mayLook(long nowMillis, long pauseMillis) {
        boolean due = nowMillis - lookedMillis >= pauseMillis;
        lookedMillis = due ? nowMillis : lookedMillis;
        return due;
    }

    /** Whether no server was there for its next attempt when it was last looked for. */
    boolean isAwaitingPath() {
        return awaitingPath;
    }

    /** Notes that no server is there for its next attempt; true if one was there when it was last looked for. */
    boolean awaitPath(long nowMillis) {
        boolean first = !awaitingPath;
        awaitingPathSinceMillis = first ? nowMillis : awaitingPathSinceMillis;
        awaitingPath = true;
        return first;
    }

    /** How long no server has been there for its next attempt. */
    long awaitedPathMillis(long nowMillis) {
        return awaitingPath ? nowMillis - awaitingPathSinceMillis : 0;
    }

    /** Notes that the first engine of the attempt under way takes no orders, so that it cannot be moved. */
    void stay() {
        staying = true;
    }

    /**
     * Whether a try to move it off an engine that leaves is due; each try that is due counts as made.
     *
     * @param spreadMillis time over which the streams of an engine leave it, each at a moment of its own
     * @param pauseMillis least time between two tries
     */
    boolean mayLeave(long nowMillis, long spreadMillis, long pauseMillis) {
        if (leavingSinceMillis == 0) {
            leavingSinceMillis = nowMillis;
        }
        long moment = Math.floorMod(exchange.call().id().hashCode(), spreadMillis);
        boolean due = !staying && nowMillis - leavingSinceMillis >= moment && nowMillis - triedMillis >= pauseMillis;
        triedMillis = due ? nowMillis : triedMillis;
        return due;
    }
}
