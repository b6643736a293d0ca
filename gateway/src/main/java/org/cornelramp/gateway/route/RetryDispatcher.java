package org.cornelramp.gateway.route;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.core.retry.RetryQueue;
import org.cornelramp.gateway.request.Attempt;
import org.cornelramp.gateway.request.AttemptEnd;

/**
 * Retries requests whose attempt has failed, within the retry budget that all gateways share. A request for which no
 * retry or no server is available waits in a queue. A stream that has started waits until its client leaves, since only
 * this gateway can continue it. A request that has not started waits for a short time, in which peers may lend retries
 * and full engines may have room again. Where {@link RequestAdmission} takes part, a stream that has not started waits
 * there instead, and this class only keeps its retries. Confined to the router's thread.
 *
 * <p>Invariant: a retry is consumed only if there is a server to send the request to.
 */
final class RetryDispatcher {
    /**
     * Most attempts at one request; more would not find a server either. Until the answer has started, every attempt
     * counts. After that, only runs without an event count, because engines that are filling up refuse a stream several
     * times within a short time, and a stream that makes progress is worth another run.
     */
    private static final int MAX_ATTEMPTS = 6;

    /**
     * Longest wait of a request that has not started, in milliseconds. Peers lend within two rounds of updates, and an
     * engine that was full is tried again after 250 ms. A client that is refused after this time can still retry by
     * itself.
     */
    private static final long MAX_UNSTARTED_WAIT_MILLIS = 400;

    /**
     * Least time between two searches for a server for one waiting request. A search takes some tenths of a
     * millisecond; searching at each tick for dozens of waiting requests would delay the router's thread on a small
     * machine.
     */
    private static final long SEARCH_INTERVAL_MILLIS = 60;

    /** Longest wait of a request that waits for its turn to run apart from others, in milliseconds. */
    private static final long MAX_SUSPECT_WAIT_MILLIS = 1_200;

    /**
     * Failed searches for started streams after which capacity goes to requests that have not started, so that many
     * streams without a path do not delay the router's thread.
     */
    private static final int MAX_STARTED_SEARCHES = 8;

    /** Time after which a request may use the servers again that have failed it, if no other server is available. */
    private static final long AVOIDANCE_MILLIS = 250;

    private final SharedRetries sharedRetries;
    private final Dispatcher dispatcher;
    private final FleetState fleet;
    private final PoisonGuard poisonGuard;
    private final ShutdownGuard shutdown;
    private final RoutingLog routingLog;
    private final FaultBarrier faults;
    private final RetryQueue<ActiveRequest> retryQueue = new RetryQueue<>();
    private final Set<ActiveRequest> lackingInAdmission = new HashSet<>();
    private final Map<ServiceName, Long> startedTriedMillis = new HashMap<>();

    RetryDispatcher(
            SharedRetries sharedRetries,
            Dispatcher dispatcher,
            FleetState fleet,
            PoisonGuard poisonGuard,
            ShutdownGuard shutdown,
            RoutingLog routingLog,
            FaultBarrier faults) {
        this.sharedRetries = sharedRetries;
        this.dispatcher = dispatcher;
        this.fleet = fleet;
        this.poisonGuard = poisonGuard;
        this.shutdown = shutdown;
        this.routingLog = routingLog;
        this.faults = faults;
    }

    /** Retries a retryable request now or queues it; false if the request is to be ended. */
    boolean retryOrQueue(ActiveRequest request, Attempt failed, AttemptEnd end, long now) {
        return prepareRetry(request, failed, end, now) && (trySend(request, now) || enqueue(request, now));
    }

    /**
     * Retries a retryable request if a retry and a server are available; false if not. A request that has an answer,
     * though an error, is not queued, because the answer can be passed on instead.
     */
    boolean retryNow(ActiveRequest request, Attempt failed, AttemptEnd end, long now) {
        return prepareRetry(request, failed, end, now) && trySend(request, now);
    }

    /** Whether another attempt may be made; records the servers that it avoids and whether it consumes a retry. */
    boolean prepareRetry(ActiveRequest request, Attempt failed, AttemptEnd end, long now) {
        if (!mayAttemptAgain(request, failed, now)) {
            routingLog.notRetried(request, "all attempts are made, or its time is over");
            return false;
        }
        if (!shutdown.mayAttempt(request, now)) {
            routingLog.notRetried(request, "the process stops before another attempt could end");
            return false;
        }
        Optional<String> poison = poisonGuard.refusalCause(request, now);
        if (poison.isPresent()) {
            routingLog.notRetried(request, poison.get());
            return false;
        }
        avoidFailedServers(request, failed, end);
        request.setNeedsRetry(end.kind().mayHaveArrived());
        return true;
    }

    /**
     * Queues a started stream again that was left without an attempt; false if it is to be ended, because too many of
     * its runs have brought no event.
     */
    boolean requeueStream(ActiveRequest request, boolean needsRetry, long now) {
        request.setNeedsRetry(needsRetry);
        boolean inTime = now < request.exchange().request().deadlineMillis();
        return inTime && request.countedAttempts() < MAX_ATTEMPTS && enqueue(request, now);
    }

    /** Queues a started stream for which there is no path. */
    void queueForPath(ActiveRequest request, long now) {
        queue(request, now);
        handleNoPath(request, now);
    }

    /** Queues a request that may be sent soon; false if the queue is full. */
    boolean queue(ActiveRequest request, long now) {
        return retryQueue.add(request, queueEntry(request, now));
    }

    /**
     * Retries the waiting requests, the most urgent first, and asks the peers to lend the retries that are still
     * missing.
     */
    void retryWaiting(long now) {
        Map<ServiceName, Integer> lacking = new HashMap<>();
        lackingInAdmission.forEach(request -> lacking.merge(request.service(), 1, Integer::sum));
        lackingInAdmission.clear();
        for (ActiveRequest request : retryQueue.inOrder()) {
            faults.run(request, () -> retryWaiting(request, lacking, now));
        }
        sharedRetries.requestLoans(lacking, now);
    }

    /**
     * Tries to send the started streams of a service that wait for a path, as they go before all requests that have not
     * started. Makes at most one pass in the time of a tick.
     *
     * @return whether one was sent, which has taken capacity
     */
    boolean retryStarted(ServiceName service, long now) {
        Long last = startedTriedMillis.get(service);
        if (last != null && now - last < RequestRouter.TICK_MILLIS) {
            return false;
        }
        startedTriedMillis.put(service, now);
        int sent = 0;
        int failed = 0;
        for (ActiveRequest request : retryQueue.inOrder()) {
            boolean started =
                    request.exchange().isCommitted() && request.service().equals(service);
            if (!started || failed >= MAX_STARTED_SEARCHES) {
                continue;
            }
            faults.run(request, () -> retryStarted(request, now));
            sent += retryQueue.contains(request) ? 0 : 1;
            failed += retryQueue.contains(request) ? 1 : 0;
        }
        return sent > 0;
    }

    private void retryStarted(ActiveRequest request, long now) {
        if (trySend(request, RequestRouter.TICK_MILLIS, now)) {
            retryQueue.remove(request);
        }
    }

    private void retryWaiting(ActiveRequest request, Map<ServiceName, Integer> lacking, long now) {
        if (trySend(request, now)) {
            retryQueue.remove(request);
        } else if (request.needsRetry()) {
            lacking.merge(request.service(), 1, Integer::sum);
        }
    }

    /** Removes and returns the requests that have not started and have waited for the longest permitted time. */
    List<ActiveRequest> removeExpired(long now) {
        List<ActiveRequest> expired = retryQueue.removeOverdue(now);
        expired.stream()
                .filter(ActiveRequest::isAwaitingSlot)
                .forEach(request -> routingLog.slotWaitEnded(request, "refused"));
        return expired;
    }

    /** Removes and returns the requests that are refused by now because servers have crashed under them. */
    List<ActiveRequest> removePoison(long now) {
        List<ActiveRequest> poison = retryQueue.inOrder().stream()
                .filter(request -> poisonGuard.isPoison(request, now))
                .toList();
        poison.forEach(retryQueue::remove);
        return poison;
    }

    /** Whether a request is in the queue. */
    boolean isWaiting(ActiveRequest request) {
        return retryQueue.contains(request);
    }

    /** Removes a request that has ended from the queue. */
    void remove(ActiveRequest request) {
        retryQueue.remove(request);
    }

    private boolean mayAttemptAgain(ActiveRequest request, Attempt failed, long now) {
        boolean engines = failed.path().isPresent();
        boolean left = engines || request.possibleRunCount() < request.route().maxAttempts();
        boolean inTime = now < request.exchange().request().deadlineMillis();
        return left && inTime && request.countedAttempts() < MAX_ATTEMPTS;
    }

    private void avoidFailedServers(ActiveRequest request, Attempt failed, AttemptEnd end) {
        boolean engines = failed.path().isPresent();
        if (!engines || (end.kind().surelyNotRun() && end.faultAt().isEmpty())) {
            request.avoidedServers().add(failed.server().id());
        }
        end.faultAt()
                .flatMap(address -> fleet.serverAt(address, request.service()))
                .ifPresent(server -> request.avoidedServers().add(server.id()));
    }

    /**
     * Whether the next attempt at a request that waits for its admission can be made as far as the retry budget is
     * concerned. If not, the peers are asked to lend a retry.
     */
    boolean hasRetry(ActiveRequest request, long now) {
        if (!request.needsRetry() || sharedRetries.isAvailable(request.service(), false, now)) {
            request.clearLackingRetry();
            return true;
        }
        lackingInAdmission.add(request);
        if (request.markLackingRetry(now)) {
            logNoRetryLeft(request, now);
        }
        return false;
    }

    /** Whether a request that lacks a retry may wait for one: for as long as one that waits for a server. */
    boolean mayAwaitRetry(ActiveRequest request, long now) {
        return isWaitUseful(request, now) && request.lackedRetryMillis(now) < MAX_UNSTARTED_WAIT_MILLIS;
    }

    /** Consumes the retry that the next attempt at a request needs, if it needs one; called when it is sent. */
    void consumeRetry(ActiveRequest request, long now) {
        if (request.needsRetry()) {
            sharedRetries.tryConsume(request.service(), request.exchange().isCommitted(), now);
            request.setNeedsRetry(false);
        }
    }

    private boolean trySend(ActiveRequest request, long now) {
        return trySend(request, SEARCH_INTERVAL_MILLIS, now);
    }

    private boolean trySend(ActiveRequest request, long intervalMillis, long now) {
        boolean started = request.exchange().isCommitted();
        if (request.needsRetry() && !sharedRetries.isAvailable(request.service(), started, now)) {
            logNoRetryLeft(request, now);
            return false;
        }
        boolean awaitedSlot = request.isAwaitingSlot();
        if (!request.tryStartSearch(now, awaitedSlot ? 0 : intervalMillis)) {
            return false;
        }
        Optional<Dispatcher.Target> target = dispatcher.chooseTarget(request, now);
        if (target.isEmpty()) {
            if (!request.isAwaitingSlot()) {
                handleNoPath(request, now);
            }
            return false;
        }
        if (awaitedSlot) {
            routingLog.slotWaitEnded(request, "sent");
        }
        consumeRetry(request, now);
        dispatcher.send(request, target.get(), now);
        return true;
    }

    private void logNoRetryLeft(ActiveRequest request, long now) {
        if (!retryQueue.contains(request)) {
            routingLog.noRetryLeft(
                    request,
                    sharedRetries.remaining(request.service(), now),
                    sharedRetries.peers(),
                    isWaitUseful(request, now));
        }
    }

    private boolean enqueue(ActiveRequest request, long now) {
        return isWaitUseful(request, now) && queue(request, now);
    }

    /** Whether waiting may help; a request that could only be refused later is refused at once. */
    private boolean isWaitUseful(ActiveRequest request, long now) {
        boolean peersMayLend = sharedRetries.peers() > 0;
        boolean serverMayReturn = fleet.hasSuspect(request.service(), now);
        boolean serverOpens =
                fleet.millisUntilOpen(request.service(), now).orElse(Long.MAX_VALUE) < MAX_UNSTARTED_WAIT_MILLIS;
        boolean verdictIsDue = poisonGuard.verdict(request, now) == PoisonGuard.Verdict.WAIT;
        boolean slotIsDue = request.isAwaitingSlot();
        return request.exchange().isCommitted()
                || slotIsDue
                || peersMayLend
                || serverMayReturn
                || serverOpens
                || verdictIsDue;
    }

    private RetryQueue.WaitState queueEntry(ActiveRequest request, long now) {
        boolean held = poisonGuard.verdict(request, now) == PoisonGuard.Verdict.WAIT;
        long maxMillis = held ? MAX_SUSPECT_WAIT_MILLIS : MAX_UNSTARTED_WAIT_MILLIS;
        return new RetryQueue.WaitState(
                request.exchange().isCommitted(),
                request.exchange().request().deadlineMillis(),
                request.isAwaitingSlot() ? request.slotWaitEndMillis() : now + maxMillis);
    }

    /**
     * Handles that no server is available. After {@link #AVOIDANCE_MILLIS} the servers that have failed the request are
     * allowed again: they may be the only ones, and may have room by now.
     */
    void handleNoPath(ActiveRequest request, long now) {
        if (request.markAwaitingPath(now)) {
            routingLog.noPath(request); // logged once per wait, although the search is repeated
        }
        if (request.awaitedPathMillis(now) >= AVOIDANCE_MILLIS) {
            request.avoidedServers().clear();
        }
    }
}
