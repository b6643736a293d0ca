package org.cornelramp.gateway.route;

import java.util.IdentityHashMap;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.core.routing.Route;
import org.cornelramp.core.settings.GatewaySettings;
import org.cornelramp.core.shutdown.ShutdownPolicy;
import org.cornelramp.gateway.SteadyClock;
import org.cornelramp.gateway.log.EventLog;
import org.cornelramp.gateway.metrics.Meters;
import org.cornelramp.gateway.request.Attempt;
import org.cornelramp.gateway.request.AttemptEnd;
import org.cornelramp.gateway.request.Exchange;
import org.cornelramp.gateway.request.Refusal;
import org.eclipse.jetty.client.HttpClient;

/**
 * Chooses a backend server for each request, and another one when an attempt fails. The decisions of {@link Router},
 * which calls this class with its events and its ticks.
 *
 * <p>Confined to the router's thread, except where a method says otherwise. Invariant: a request that may not be
 * retried is sent again only after an attempt that certainly did not run.
 */
final class RequestRouter {
    /** Interval of the ticks, in milliseconds. */
    static final long TICK_MILLIS = 20;

    private final ConfigHolder config;
    private final Meters meters;
    private final RoutingLog routingLog;
    private final FaultBarrier faults;
    private final FleetState fleet;
    private final FleetUpdater fleetUpdater;
    private final IdentityHashMap<Exchange, ActiveRequest> activeRequests = new IdentityHashMap<>();
    private final SharedRetries sharedRetries;
    private final FailureDetector failureDetector;
    private final OverdueAttempts overdueAttempts;
    private final DemandReporter demandReporter;
    private final PeerUpdateHandler peerUpdateHandler;
    private final AtomicInteger activeRequestCount = new AtomicInteger();
    private final TickLag tickLag = new TickLag();
    private final Dispatcher dispatcher;
    private final RetryDispatcher retryDispatcher;
    private final StreamMonitor streamMonitor;
    private final ServerNoticeHandler serverNotices;
    private final EngineResultHandler engineResults;
    private final CrashObserver crashObserver;
    private final PoisonGuard poisonGuard;
    private final LifeQuestions lifeQuestions;
    private final UnframedEnds unframedEnds;
    private final ShutdownGuard shutdown;
    private final ShutdownEnder shutdownEnder;
    private final RequestEnder ender;
    private final FailedAttempts failedAttempts;
    private final RequestAdmission admission;
    private final NoServerPolicy noServer;
    private final RouteExplainer explainer;
    private volatile FleetView view = FleetView.EMPTY;
    private long lastTickMillis;

    /**
     * @param clients the HTTP client that sends the requests of a route
     * @param engineControl reads engines' reports and sends them orders
     * @param clock tells attempts when their events arrive
     * @param random generates numbers that no earlier run of this process has used
     * @param events queues the results of engine calls, from any thread
     * @param attemptEnds queues the end of an attempt, from any thread
     */
    RequestRouter(
            GatewaySettings settings,
            Function<Route, HttpClient> clients,
            ConfigHolder config,
            SteadyClock clock,
            EventLog log,
            Meters meters,
            AsyncEngineControl engineControl,
            RandomGenerator random,
            Consumer<RouterEvent> events,
            BiConsumer<Attempt, AttemptEnd> attemptEnds) {
        this.fleet = new FleetState(settings.name(), settings.timing().heartbeatMillis());
        this.fleetUpdater = new FleetUpdater(fleet, engineControl, log, events);
        this.config = config;
        this.meters = meters;
        this.routingLog = new RoutingLog(log, meters);
        this.faults = new FaultBarrier(routingLog);
        this.sharedRetries = new SharedRetries(settings.name(), settings.retries(), random);
        this.failureDetector =
                new FailureDetector(fleet, engineControl, settings.timing().stallMillis(), log, meters, events);
        this.lifeQuestions = new LifeQuestions(fleet, config, engineControl, events);
        this.crashObserver = new CrashObserver(fleet, engineControl, lifeQuestions, log, meters, events);
        crashObserver.setEndListener(failureDetector);
        this.poisonGuard = new PoisonGuard(activeRequests.values(), crashObserver, log, meters);
        this.demandReporter = new DemandReporter(settings.dataCentre(), fleet, activeRequests.values(), log);
        this.peerUpdateHandler = new PeerUpdateHandler(
                settings.name(),
                settings.dataCentre(),
                fleet,
                sharedRetries,
                poisonGuard,
                demandReporter,
                failureDetector::handlePeerSuspicion);
        this.shutdown = new ShutdownGuard(new ShutdownPolicy(), peerUpdateHandler::hasStayingPeer);
        failureDetector.setOnLost(peerUpdateHandler::recordFailure);
        PlainServerChooser plain = new PlainServerChooser(fleet, settings.dataCentre(), random, routingLog);
        PromptPrefixUse prefixes = new PromptPrefixUse(settings, fleet, poisonGuard, routingLog);
        this.dispatcher =
                new Dispatcher(settings, clients, config, fleet, plain, prefixes, poisonGuard, clock, log, attemptEnds);
        this.retryDispatcher =
                new RetryDispatcher(sharedRetries, dispatcher, fleet, poisonGuard, shutdown, routingLog, faults);
        this.overdueAttempts = new OverdueAttempts(sharedRetries, dispatcher, shutdown);
        this.serverNotices = new ServerNoticeHandler(fleet, log, meters);
        this.streamMonitor =
                new StreamMonitor(fleet, engineControl, failureDetector, overdueAttempts, faults, log, events);
        this.unframedEnds = new UnframedEnds(
                fleet, lifeQuestions, settings.timing().stallMillis(), log, meters, this::settleUnframed);
        this.admission = new RequestAdmission(fleet, config, dispatcher, retryDispatcher, faults, log, meters);
        this.noServer = new NoServerPolicy(fleet, poisonGuard);
        RetryDelay retryDelay = new RetryDelay(fleet, poisonGuard);
        this.explainer =
                new RouteExplainer(settings, config, fleet, dispatcher, plain, admission, noServer, retryDelay);
        this.ender = new RequestEnder(
                activeRequests,
                activeRequestCount,
                sharedRetries,
                dispatcher,
                retryDispatcher,
                unframedEnds,
                poisonGuard,
                retryDelay,
                demandReporter,
                routingLog,
                admission,
                shutdown);
        this.shutdownEnder = new ShutdownEnder(shutdown, unframedEnds, ender, routingLog);
        this.failedAttempts =
                new FailedAttempts(retryDispatcher, admission, this::rejectAll, ender, failureDetector, routingLog);
        this.engineResults = new EngineResultHandler(
                activeRequests,
                fleet,
                engineControl,
                failureDetector,
                streamMonitor,
                dispatcher,
                routingLog,
                log,
                meters);
    }

    /** Number of requests in progress; may be called by any thread. */
    int activeRequestCount() {
        return activeRequestCount.get();
    }

    /** Delay of the ticks; may be used by any thread. */
    TickLag tickLag() {
        return tickLag;
    }

    /** Number of exceptions in the router's work, each of which has ended only one step or request. */
    long exceptionCount() {
        return faults.count();
    }

    /** The state of the backend servers as of the last tick; may be called by any thread. */
    FleetView view() {
        return view;
    }

    /** Prepares the updates to the peers. */
    PeerUpdateHandler peerUpdates() {
        return peerUpdateHandler;
    }

    /** Decides which requests are accepted while the process stops; may be called by any thread. */
    ShutdownPolicy shutdownPolicy() {
        return shutdown.policy();
    }

    /** Handles one event; an exception is logged and does not reach the caller, which may have more events. */
    void handle(RouterEvent event, long now) {
        faults.run("event", now, () -> handleUnguarded(event, now));
    }

    private void handleUnguarded(RouterEvent event, long now) {
        if (event instanceof RouterEvent.RequestReceived arrived) {
            handleRequest(arrived.exchange(), now);
        } else if (event instanceof RouterEvent.AttemptEnded ended) {
            handleAttemptEnd(ended.attempt(), ended.end(), now);
        } else if (event instanceof RouterEvent.RegistrationsRead registered) {
            fleetUpdater.handleRegistrations(registered, now);
        } else if (event instanceof RouterEvent.PeerUpdateReceived received) {
            peerUpdateHandler.handleUpdate(received.update(), now);
            serverNotices.handlePeerUpdate(received.update(), now);
        } else if (event instanceof RouterEvent.StoreStatus answers) {
            fleetUpdater.storeAvailable(answers.available(), now);
        } else if (event instanceof RouterEvent.EngineReportResult reported) {
            crashObserver.reportRead(reported.engine(), reported.report(), now);
            engineResults.handleReport(reported, now);
        } else if (event instanceof RouterEvent.ConnectionChecked checked) {
            crashObserver.connectionChecked(checked.server(), checked.fault(), now);
        } else if (event instanceof RouterEvent.LifeAsked asked) {
            lifeQuestions.handleResult(asked);
            crashObserver.lifeAsked(asked.server(), asked.fault(), now);
            unframedEnds.handleLifeAsked(asked, now);
        } else if (event instanceof RouterEvent.PoisonCleared cleared) {
            poisonGuard.clear(cleared.fingerprint(), now);
        } else if (event instanceof RouterEvent.ExplanationRequested asked) {
            explainer.answer(asked, now);
        } else if (event instanceof RouterEvent.MoveResult moved) {
            engineResults.handleMoveResult(moved, now);
        }
        if (failureDetector.pollNewlyLost()) {
            streamMonitor.check(
                    activeRequests.values(),
                    config.current(),
                    now); // so that its streams continue before their clients notice
        }
    }

    private void handleRequest(Exchange exchange, long now) {
        if (faults.run("request", now, () -> acceptRequest(exchange, now))) {
            return;
        }
        ActiveRequest request = activeRequests.get(exchange);
        if (request == null) {
            exchange.refuse(Refusal.OVERLOADED, Refusal.OVERLOADED.retryMillis());
        } else if (isUnattended(request)) {
            endAfterFault(request, "the request could not be handled", now);
        }
    }

    private void acceptRequest(Exchange exchange, long now) {
        Exchange.ClientRequest call = exchange.request();
        ServiceName service = call.service();
        ActiveRequest request = new ActiveRequest(exchange, service, call.head().expectedTokens());
        activeRequests.put(exchange, request);
        activeRequestCount.incrementAndGet();
        sharedRetries.countRequest(service, now);
        demandReporter.recordArrival(request, now);
        if (exchange.hasClientDisconnected(now)) {
            ender.abort(
                    request, "client gone", request.exchange().clientCloseReason(), now); // while the request was held
            return;
        }
        if (!shutdownEnder.endIfUnfinishable(request, now)) {
            send(request, now);
        }
    }

    /** Sends a request, or ends it if no server can take it. */
    private void send(ActiveRequest request, long now) {
        if (now >= request.exchange().request().deadlineMillis()) {
            ender.giveUp(request, Refusal.NOT_RUN_IN_TIME, "deadline", now);
        } else if (admission.decides(request, now)) {
            rejectAll(admission.admit(request, now), now);
        } else if (!dispatcher.send(request, now)) {
            waitOrGiveUp(request, now);
        }
    }

    private void rejectAll(List<RequestAdmission.Rejected> rejected, long now) {
        for (RequestAdmission.Rejected each : rejected) {
            if (!faults.run(each.request(), () -> ender.reject(each, now))) {
                endAfterFault(each.request(), each.why(), now);
            }
        }
    }

    /** Handles a request that no server can take. */
    private void waitOrGiveUp(ActiveRequest request, long now) {
        NoServerPolicy.Step step = noServer.step(request, now);
        if (step == NoServerPolicy.Step.QUEUE_FOR_PATH) {
            retryDispatcher.queueForPath(request, now);
        } else if (step == NoServerPolicy.Step.REFUSE
                || (step == NoServerPolicy.Step.QUEUE && !retryDispatcher.queue(request, now))) {
            ender.giveUp(request, noServer.refusal(request, now), noServer.cause(request, now), now);
        }
    }

    private void handleAttemptEnd(Attempt attempt, AttemptEnd end, long now) {
        ActiveRequest request = activeRequests.get(attempt.exchange());
        meters.countAttempt(end.kind().name());
        boolean current = request != null && request.attempt() == attempt;
        faults.run("notice", now, () -> serverNotices.handleResponseHead(attempt, now));
        faults.run("crash", now, () -> poisonGuard.attemptEnded(attempt, end, now));
        faults.run("outcome", now, () -> failureDetector.recordOutcome(attempt, end, now));
        if (attempt.receivedIds().gapCount() > 0) {
            faults.run("gap", now, () -> routingLog.gapReceived(attempt));
        }
        if (current && attempt.endsWithConnection()) {
            routingLog.endedWithConnection(request, attempt, end, now);
        }
        if (current) {
            boolean handled = faults.run(request, () -> settleAttempt(request, attempt, end, now));
            if (!handled) {
                continueAfterFault(request, attempt, end, now);
            }
        }
    }

    private void settleAttempt(ActiveRequest request, Attempt attempt, AttemptEnd end, long now) {
        if (OverdueAttempts.hasEvents(request, attempt)) {
            // A short stream may end between two ticks.
            faults.run(request, () -> handleFirstEvent(request, attempt, now));
        }
        dispatcher.removeLoad(request);
        admission.recordEnd(request, attempt, now);
        request.endAttempt(end.kind().surelyNotRun());
        if (attempt.path().isPresent() && !end.kind().surelyNotRun()) {
            request.usedFirstEngines().add(attempt.server().id());
        }
        handleEnd(request, attempt, end, now);
    }

    private void handleEnd(ActiveRequest request, Attempt attempt, AttemptEnd end, long now) {
        switch (end.kind()) {
            case RELAYED -> ender.complete(request, end, now);
            case CLIENT_GONE -> ender.abort(request, "client gone", end.detail(), now);
            case ANSWERED -> failedAttempts.handleAnswer(request, attempt, end, now);
            case RELAYED_UNFRAMED, ANSWERED_UNFRAMED -> unframedEnds.decide(request, attempt, end, now);
            default -> failedAttempts.handleFailure(request, attempt, end, now);
        }
    }

    /** Handles the end of an unframed response once it is known whether the response is complete. */
    private void settleUnframed(ActiveRequest request, Attempt attempt, AttemptEnd end, long now) {
        faults.run("crash", now, () -> poisonGuard.attemptEnded(attempt, end, now));
        faults.run("outcome", now, () -> failureDetector.recordOutcome(attempt, end, now));
        boolean handled = faults.run(request, () -> handleEnd(request, attempt, end, now));
        if (!handled) {
            continueAfterFault(request, attempt, end, now);
        }
    }

    /**
     * Gives a request whose attempt has ended another attempt or an end, after an exception in the handling of that
     * end. It is not known how far the handling came, so a request that has not started is not sent again.
     */
    private void continueAfterFault(ActiveRequest request, Attempt attempt, AttemptEnd end, long now) {
        if (request.attempt() == attempt) {
            request.endAttempt(end.kind().surelyNotRun());
        }
        if (isUnattended(request)) {
            requeueOrEnd(request, end.kind().mayHaveArrived(), now);
        }
    }

    /** Whether a request in progress has neither an attempt nor a place in the retry queue. */
    private boolean isUnattended(ActiveRequest request) {
        return activeRequests.containsKey(request.exchange())
                && request.attempt() == null
                && !unframedEnds.isUndecided(request)
                && !retryDispatcher.isWaiting(request)
                && !admission.isWaiting(request);
    }

    private void requeueOrEnd(ActiveRequest request, boolean needsRetry, long now) {
        boolean resumable = request.exchange().isCommitted()
                && !request.exchange().isEnded()
                && request.route().mayRetry();
        if (!resumable || !retryDispatcher.requeueStream(request, needsRetry, now)) {
            endAfterFault(request, "the end of an attempt could not be handled", now);
        }
    }

    private void handleFirstEvent(ActiveRequest request, Attempt attempt, long now) {
        dispatcher.recordFirstEvent(request, now);
        if (overdueAttempts.recordFirstEvent(request, attempt, now)) {
            admission.recordFirstEvent(request, attempt, now);
            if (attempt.resumedAfterId() >= 0) {
                routingLog.resumed(request, attempt);
            }
        }
    }

    /** Checks all requests; called about every {@link #TICK_MILLIS}. */
    void tick(long now) {
        fleet.recordTickDelay(lastTickMillis == 0 ? 0 : Math.max(0, now - lastTickMillis - TICK_MILLIS), now);
        lastTickMillis = now;
        faults.run("shutdown", now, () -> shutdown.observe(activeRequests.values(), now));
        tickLag.record(fleet.lagMillis(), now);
        for (ActiveRequest request : List.copyOf(activeRequests.values())) {
            checkSafely(request, now);
        }
        faults.run("retries", now, () -> retryWaiting(now));
        faults.run("admission", now, () -> rejectAll(admission.check(now), now));
        faults.run("probes", now, () -> fleetUpdater.probeSuspects(now));
        faults.run("streams", now, () -> streamMonitor.check(activeRequests.values(), config.current(), now));
        faults.run("registrations", now, () -> fleetUpdater.expireRegistrations(now));
        faults.run("crash", now, () -> poisonGuard.check(now));
        faults.run("unframed", now, () -> unframedEnds.check(now));
        faults.run("limits", now, () -> serverNotices.expire(now));
        faults.run("peers", now, () -> peerUpdateHandler.refreshUpdate(now));
        faults.run("view", now, () -> view = fleet.view(now));
    }

    /** Checks a request. Its deadline ends it also if its check always throws an exception. */
    private void checkSafely(ActiveRequest request, long now) {
        boolean checked = faults.run(request, () -> checkRequest(request, now));
        if (!checked && now >= request.exchange().request().deadlineMillis()) {
            endAfterFault(request, "deadline", now);
        }
    }

    /** Ends a request whose handling has thrown an exception; each step may throw another one. */
    private void endAfterFault(ActiveRequest request, String why, long now) {
        Attempt attempt = request.attempt();
        if (attempt != null) {
            request.endAttempt(false);
            faults.run(request, () -> attempt.cancel(why));
        }
        boolean late = now >= request.exchange().request().deadlineMillis();
        Refusal notRun = late ? Refusal.NOT_RUN_IN_TIME : Refusal.OVERLOADED;
        Refusal unknown = late ? Refusal.TIMED_OUT : Refusal.UNKNOWN;
        Refusal refusal = request.possibleRunCount() == 0 ? notRun : unknown;
        boolean ended = faults.run(request, () -> ender.giveUp(request, refusal, why, now));
        if (!ended) {
            faults.run(request, () -> ender.abort(request, why, "", now));
        }
        if (activeRequests.containsKey(request.exchange())) {
            faults.run(request, () -> ender.finish(request, "broken", 0, now));
        }
    }

    /**
     * Sends a request that has no attempt and is not queued for a retry: it arrived before the servers were known. Only
     * a request that was never sent; any other might run twice, and would need a retry. Refuses a request that waits for
     * its admission and is known to crash servers.
     */
    private void sendUnsent(ActiveRequest request, long now) {
        if (admission.isWaiting(request) && poisonGuard.isPoison(request, now)) {
            waitOrGiveUp(request, now);
        } else if (isUnattended(request) && request.attemptCount() == 0) {
            send(request, now);
        } else if (isUnattended(request)) {
            requeueOrEnd(request, true, now);
        }
    }

    private void retryWaiting(long now) {
        for (ActiveRequest request : retryDispatcher.removeExpired(now)) {
            faults.run(
                    request,
                    () -> ender.giveUp(
                            request,
                            ender.refusalFor(request, now),
                            "no retry and no server became available in time",
                            now));
        }
        for (ActiveRequest request : retryDispatcher.removePoison(now)) {
            String why = poisonGuard.refusalCause(request, now).orElse("servers have crashed");
            faults.run(request, () -> ender.giveUp(request, ender.refusalFor(request, now), why, now));
        }
        retryDispatcher.retryWaiting(now);
    }

    private void checkRequest(ActiveRequest request, long now) {
        Attempt attempt = request.attempt();
        if (attempt != null) {
            serverNotices.handleResponseHead(attempt, now);
        }
        if (request.exchange().hasClientDisconnected(now)) {
            if (attempt != null) {
                request.endAttempt(false);
                attempt.cancel("the client has gone");
            }
            ender.abort(request, "client gone", request.exchange().clientCloseReason(), now);
            return;
        }
        if (now >= request.exchange().request().deadlineMillis()) {
            if (attempt != null) {
                request.endAttempt(false);
                attempt.cancel("the deadline has passed");
            }
            ender.giveUp(
                    request,
                    request.possibleRunCount() == 0 ? Refusal.NOT_RUN_IN_TIME : Refusal.TIMED_OUT,
                    "deadline",
                    now);
        } else if (shutdownEnder.endIfUnfinishable(request, now)) {
            return; // it can't be continued
        } else if (attempt == null) {
            sendUnsent(request, now);
        } else if (overdueAttempts.isUnfinished(request, attempt, now)) {
            attempt.reject("its response arrives without an end of its head or event");
        } else if (OverdueAttempts.hasEvents(request, attempt)) {
            handleFirstEvent(request, attempt, now);
        } else {
            overdueAttempts.cancelReason(request, attempt, now).ifPresent(attempt::cancel);
        }
    }
}
