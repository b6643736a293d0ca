package org.cornelramp.gateway.route;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.core.path.PromptHolders;
import org.cornelramp.core.path.PromptPrefix;
import org.cornelramp.core.path.StagePath;
import org.cornelramp.core.routing.Route;
import org.cornelramp.gateway.request.Attempt;
import org.cornelramp.gateway.request.Exchange;
import org.cornelramp.platform.RequestHead;

/** The router's state of one request in progress. Confined to the router's thread. */
final class ActiveRequest {
    private final Exchange exchange;
    private final ServiceName service;
    private int expectedTokens;
    private final Set<BackendServerId> avoidedServers = new HashSet<>();
    private final Set<BackendServerId> usedFirstEngines = new HashSet<>();
    private Attempt attempt;
    private StagePath loadedPath;
    private int unreadPromptTokens;
    private int attemptCount;
    private int possibleRunCount;
    private int runsWithoutEvents;
    private final List<StagePath> moveOrders = new ArrayList<>();
    private boolean moving;
    private long moveStartMillis;
    private int lastMove;
    private boolean firstEventSeen;
    private boolean notMovable;
    private String fingerprint;
    private Set<String> sharedPromptParts;
    private List<PromptPrefix.Part> sharedPrompt;
    private PromptHolders.Hold heldPrefix;
    private boolean lived;
    private long firstTurnMillis = Long.MAX_VALUE;
    private boolean needsRetry;
    private boolean faultLogged;
    private boolean awaitingPath;
    private long awaitingPathSinceMillis;
    private long lastMoveMillis = Long.MIN_VALUE / 2;
    private long lastSearchMillis = Long.MIN_VALUE / 2;
    private long leavingSinceMillis;
    private long admissionId;
    private double reservedRequests;
    private long retryLackedSinceMillis = Long.MAX_VALUE;
    private boolean awaitingSlot;
    private long slotWaitEndMillis = Long.MAX_VALUE;
    private long expectedSlotMillis;

    /** @param tokens tokens that the request is expected to occupy when it is finished; 0 for a plain service */
    ActiveRequest(Exchange exchange, ServiceName service, int tokens) {
        this.exchange = exchange;
        this.service = service;
        this.expectedTokens = tokens;
    }

    Exchange exchange() {
        return exchange;
    }

    Route route() {
        return exchange.request().route();
    }

    ServiceName service() {
        return service;
    }

    /** Identifies the request when its client sends it again; computed at the first call. */
    String fingerprint() {
        if (fingerprint == null) {
            fingerprint = exchange.request().fingerprint();
        }
        return fingerprint;
    }

    /** Names of the parts of its prompt that other requests may share; decoded at the first call. */
    Set<String> sharedPromptParts() {
        if (sharedPromptParts == null) {
            sharedPromptParts = exchange.request().sharedPromptParts();
        }
        return sharedPromptParts;
    }

    /** The parts of its prompt that other requests may share, in order; decoded at the first call. */
    List<PromptPrefix.Part> sharedPrompt() {
        if (sharedPrompt == null) {
            sharedPrompt = RequestHead.sharedPrompt(exchange.request().fields());
        }
        return sharedPrompt;
    }

    /** What its current run holds on engines; empty before its prompt has been read. */
    Optional<PromptHolders.Hold> heldPrefix() {
        return Optional.ofNullable(heldPrefix);
    }

    void setHeldPrefix(Optional<PromptHolders.Hold> hold) {
        heldPrefix = hold.orElse(null);
    }

    /** Records that the current attempt has lived on its parts; true on the first call for this attempt. */
    boolean markLived() {
        boolean first = !lived;
        lived = true;
        return first;
    }

    int expectedTokens() {
        return expectedTokens;
    }

    /** Sets the expected tokens of a request that did not state any. */
    void setDefaultTokens(int usual) {
        expectedTokens = expectedTokens > 0 ? expectedTokens : usual;
    }

    /** Servers that have failed this request and are not used for its next attempt. */
    Set<BackendServerId> avoidedServers() {
        return avoidedServers;
    }

    /** First engines of the attempts that may have run. */
    Set<BackendServerId> usedFirstEngines() {
        return usedFirstEngines;
    }

    /** The current attempt; null if there is none. */
    Attempt attempt() {
        return attempt;
    }

    void startAttempt(Attempt next) {
        attempt = next;
        attemptCount++;
        moveOrders.clear();
        moving = false;
        lastMove = -1;
        firstEventSeen = false;
        lived = false;
        notMovable = false;
        awaitingPath = false;
        awaitingSlot = false;
        firstTurnMillis = Long.MAX_VALUE;
        leavingSinceMillis = 0;
        lastSearchMillis = Long.MIN_VALUE / 2;
    }

    void endAttempt(boolean surelyNotRun) {
        boolean events = exchange.lastEventMillis() > attempt.startMillis();
        runsWithoutEvents = events ? 0 : runsWithoutEvents + (surelyNotRun ? 0 : 1);
        attempt = null;
        moving = false;
        possibleRunCount += surelyNotRun ? 0 : 1;
    }

    /** Number of attempts started so far. */
    int attemptCount() {
        return attemptCount;
    }

    /** Number of attempts that may have run the request. */
    int possibleRunCount() {
        return possibleRunCount;
    }

    /** Number of attempts that count towards the limit; once its answer has started, those without an event. */
    int countedAttempts() {
        return exchange.isCommitted() ? runsWithoutEvents : attemptCount;
    }

    /** Records that the current attempt has delivered events; true on the first call for this attempt. */
    boolean markFirstEvent() {
        boolean first = !firstEventSeen;
        firstEventSeen = true;
        return first;
    }

    /** Whether the next attempt consumes a retry, because the last one may have reached a server. */
    boolean needsRetry() {
        return needsRetry;
    }

    void setNeedsRetry(boolean now) {
        needsRetry = now;
    }

    /** Records that no retry is available for the next attempt; true unless this was recorded already. */
    boolean markLackingRetry(long nowMillis) {
        boolean first = retryLackedSinceMillis == Long.MAX_VALUE;
        retryLackedSinceMillis = Math.min(retryLackedSinceMillis, nowMillis);
        return first;
    }

    /** Records that a retry is available for the next attempt, or that none is needed. */
    void clearLackingRetry() {
        retryLackedSinceMillis = Long.MAX_VALUE;
    }

    /** Time for which no retry has been available, in milliseconds; 0 if one is available. */
    long lackedRetryMillis(long nowMillis) {
        return Math.max(0, nowMillis - retryLackedSinceMillis);
    }

    /** Records that an exception in the handling of this request is logged; true on the first call. */
    boolean markFaultLogged() {
        boolean first = !faultLogged;
        faultLogged = true;
        return first;
    }

    /** The path on whose engines this request's load is counted; null for none. */
    StagePath loadedPath() {
        return loadedPath;
    }

    void setLoadedPath(StagePath path) {
        loadedPath = path;
    }

    /** Prompt tokens counted as not yet read by the engines of the path. */
    int unreadPromptTokens() {
        return unreadPromptTokens;
    }

    void setUnreadPromptTokens(int prompt) {
        unreadPromptTokens = prompt;
    }

    /** Whether an order to move the request to another path is pending. */
    boolean isMoving() {
        return moving;
    }

    /** Whether the pending order has had no result for longer than the given time. */
    boolean isMoveOverdue(long limitMillis, long nowMillis) {
        return moving && nowMillis - moveStartMillis > limitMillis;
    }

    /** Records that the current attempt was ordered to another path. */
    void startMove(StagePath path, long nowMillis) {
        moveOrders.add(path);
        moveStartMillis = nowMillis;
        moving = true;
    }

    /** Records that the pending order has ended, or that no result of it is expected any more. */
    void endMove() {
        moving = false;
    }

    /** Whether a move to the path is the latest one that was ordered; an earlier one may end after it. */
    boolean isLatestMove(StagePath path) {
        return moveOrders.lastIndexOf(path) == moveOrders.size() - 1;
    }

    /**
     * Records that the engine has moved the request; false if it has also accepted a move that was ordered later, so
     * that this one is no longer in force.
     */
    boolean acceptMove(StagePath path) {
        int move = moveOrders.lastIndexOf(path);
        boolean newer = move >= lastMove;
        lastMove = newer ? move : lastMove;
        return newer;
    }

    /** Number of move orders sent for the current attempt. */
    int moveCount() {
        return moveOrders.size();
    }

    /** Time since the first call for the next attempt, in milliseconds. */
    long millisSinceFirstTurn(long nowMillis) {
        firstTurnMillis = Math.min(firstTurnMillis, nowMillis);
        return nowMillis - firstTurnMillis;
    }

    /** Whether the next search for a server is due; if so, records it as made now. */
    boolean tryStartSearch(long nowMillis, long pauseMillis) {
        boolean due = nowMillis - lastSearchMillis >= pauseMillis;
        lastSearchMillis = due ? nowMillis : lastSearchMillis;
        return due;
    }

    /** Counts a search as made now, so that the next one is due only after a pause. */
    void delaySearch(long nowMillis) {
        lastSearchMillis = nowMillis;
    }

    /** Whether the last search found no server for the next attempt. */
    boolean isAwaitingPath() {
        return awaitingPath;
    }

    /** Records that no server is available for the next attempt; true unless this was recorded already. */
    boolean markAwaitingPath(long nowMillis) {
        boolean first = !awaitingPath;
        awaitingPathSinceMillis = first ? nowMillis : awaitingPathSinceMillis;
        awaitingPath = true;
        return first;
    }

    /** Time for which no server has been available for the next attempt, in milliseconds. */
    long awaitedPathMillis(long nowMillis) {
        return awaitingPath ? nowMillis - awaitingPathSinceMillis : 0;
    }

    /** Whether the request waits because all plain servers are known to be full. */
    boolean isAwaitingSlot() {
        return awaitingSlot;
    }

    /**
     * Records that the request waits for a slot; true unless it did already.
     *
     * @param maxMillis longest wait from now on
     * @param expectedMillis time until a slot is expected to be free
     */
    boolean startSlotWait(long nowMillis, long maxMillis, long expectedMillis) {
        boolean first = !awaitingSlot;
        awaitingSlot = true;
        slotWaitEndMillis = Math.min(slotWaitEndMillis, nowMillis + maxMillis);
        expectedSlotMillis = expectedMillis;
        return first;
    }

    /** Records that the request does not wait for a slot any more. */
    void endSlotWait() {
        awaitingSlot = false;
    }

    /** Time for which the request may still wait for a slot, at most the given one; all its waits share one bound. */
    long remainingSlotWaitMillis(long maxMillis, long nowMillis) {
        return Math.max(0, Math.min(maxMillis, slotWaitEndMillis - nowMillis));
    }

    /** When the wait for a slot ends. */
    long slotWaitEndMillis() {
        return slotWaitEndMillis;
    }

    /** Time until a slot was expected to be free at the last search, in milliseconds. */
    long expectedSlotMillis() {
        return expectedSlotMillis;
    }

    /** Records that the first engine of the current attempt accepts no orders, so the attempt cannot be moved. */
    void markNotMovable() {
        notMovable = true;
    }

    /**
     * Whether an order to move the request off an engine that is shutting down is due; if so, records it as made now.
     *
     * @param spreadMillis time over which the moves of an engine's streams are spread by their request ids
     * @param pauseMillis least time between two move orders
     */
    boolean tryStartMove(long nowMillis, long spreadMillis, long pauseMillis) {
        if (leavingSinceMillis == 0) {
            leavingSinceMillis = nowMillis;
        }
        long moment = Math.floorMod(exchange.request().id().hashCode(), spreadMillis);
        boolean due =
                !notMovable && nowMillis - leavingSinceMillis >= moment && nowMillis - lastMoveMillis >= pauseMillis;
        lastMoveMillis = due ? nowMillis : lastMoveMillis;
        return due;
    }

    /** Number under which the request was admitted or waits for its admission; 0 for none. */
    long admissionId() {
        return admissionId;
    }

    void setAdmissionId(long id) {
        admissionId = id;
    }

    /** Requests of mean length for each copy of the model whose memory this request leaves to more urgent ones. */
    double reservedRequests() {
        return reservedRequests;
    }

    void setReservedRequests(double requests) {
        reservedRequests = requests;
    }
}
