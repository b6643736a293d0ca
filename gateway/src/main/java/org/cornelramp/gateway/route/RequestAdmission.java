package org.cornelramp.gateway.route;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.cornelramp.core.admission.AdmissionQueue;
import org.cornelramp.core.admission.AdmissionRefusal;
import org.cornelramp.core.admission.EarlyRetries;
import org.cornelramp.core.admission.Evicted;
import org.cornelramp.core.admission.Fit;
import org.cornelramp.core.admission.Prospect;
import org.cornelramp.core.admission.WaitingRequest;
import org.cornelramp.core.model.OrganisationId;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.core.routing.EngineSpec;
import org.cornelramp.core.routing.Route;
import org.cornelramp.core.routing.RouteKind;
import org.cornelramp.core.routing.RoutingConfig;
import org.cornelramp.core.routing.ServiceSpec;
import org.cornelramp.gateway.log.EventLog;
import org.cornelramp.gateway.metrics.Meters;
import org.cornelramp.gateway.request.Attempt;
import org.cornelramp.gateway.request.Exchange;
import org.cornelramp.gateway.request.Refusal;

/**
 * Admits streams to engines in the order of their urgency while there is not enough capacity for all. Takes part only
 * where the configuration gives a service's routes for streams more than one priority; other requests are
 * handled as if this class did not exist. Confined to the router's thread.
 *
 * <p>Invariants: a request that waits here has no attempt and no event forwarded. Only one whose
 * {@link ActiveRequest#possibleRunCount} is 0 may be refused with a status that promises that it has not run; the others
 * end with an unknown outcome. A retry is paid when it is sent. No request is sent before a waiting one that is more
 * urgent and fits, except for the first of a priority or organisation whose recent share is too small, started streams,
 * and a retry in place of an error response, which does not wait.
 */
final class RequestAdmission {
    /** Most requests that wait in one gateway. */
    private static final int QUEUE_CAPACITY = 256;

    /** Refusals that are remembered to recognise clients that return too early. */
    private static final int MAX_EARLY_RETRIES = 512;

    /** Shortest time after which a client leaves a stream that sends no event, in milliseconds. */
    private static final long MIN_PATIENCE_MILLIS = 2_000;

    /** Multiple of the target latency that clients of a stream wait for its first event. */
    private static final long PATIENCE_TARGETS = 4;

    /** Multiple of the longest pause of a route that clients of a stream wait for its first event. */
    private static final long PATIENCE_PAUSES = 8;

    /** Shortest time until capacity is expected, in milliseconds: it was missing for longer. */
    private static final long MIN_WAIT_MILLIS = 500;

    /** Shortest time after which a refused client may return, in milliseconds, also with little time left. */
    private static final long MIN_RETRY_MILLIS = 200;

    /**
     * Part of the client's remaining time within which it may return, as a divisor: clients disregard a longer time, and
     * up to a half is added at random.
     */
    private static final long MAX_RETRY_PART = 5;

    /** Time to the first event that is expected before any was observed, in milliseconds. */
    private static final double USUAL_FIRST_EVENT_MILLIS = 200;

    /** Longest time to the first event that shortens the wait of a request, in milliseconds: half of the least patience. */
    private static final double MAX_FIRST_EVENT_MILLIS = MIN_PATIENCE_MILLIS / 2.0;

    /** Weight of the newest prediction in the moving average of the time to the first event. */
    private static final double SMOOTHING_FACTOR = 0.1;

    private final FleetState fleet;
    private final ConfigHolder config;
    private final Dispatcher dispatcher;
    private final RetryDispatcher retries;
    private final FaultBarrier faults;
    private final EventLog log;
    private final Meters meters;
    private final AdmissionQueue<ActiveRequest> queue = new AdmissionQueue<>(QUEUE_CAPACITY);
    private final AdmissionPace pace;
    private final EarlyRetries earlyRetries = new EarlyRetries(MAX_EARLY_RETRIES);
    private double firstEventMillis = USUAL_FIRST_EVENT_MILLIS;
    private long lastId;
    private long checkedVersion = -1;
    private Set<ServiceName> services = Set.of();

    /**
     * A request that is refused, with the time after which its client may return.
     *
     * @param retryMillis time until capacity is expected, in milliseconds
     */
    record Rejected(ActiveRequest request, Refusal refusal, String why, long retryMillis) {}

    RequestAdmission(
            FleetState fleet,
            ConfigHolder config,
            Dispatcher dispatcher,
            RetryDispatcher retries,
            FaultBarrier faults,
            EventLog log,
            Meters meters) {
        this.fleet = fleet;
        this.config = config;
        this.dispatcher = dispatcher;
        this.retries = retries;
        this.pace = new AdmissionPace(fleet, dispatcher);
        this.faults = faults;
        this.log = log;
        this.meters = meters;
    }

    /** Whether the request is admitted by its urgency: a stream of a service with requests of several priorities. */
    boolean applies(ActiveRequest request) {
        return request.route().kind() == RouteKind.STREAMING
                && !request.exchange().isCommitted()
                && fleet.isInitialised()
                && config.current()
                        .filter(version -> hasPriorities(version, request.service()))
                        .isPresent();
    }

    /** Whether {@link #admit} decides on a request that has not been sent yet. */
    boolean decides(ActiveRequest request, long now) {
        return applies(request) && dispatcher.maySend(request, now);
    }

    /** Whether the request waits here. */
    boolean isWaiting(ActiveRequest request) {
        return request.admissionId() != 0 && queue.find(request.admissionId()).isPresent();
    }

    /** Removes a request that has ended. */
    void remove(ActiveRequest request) {
        if (request.admissionId() != 0) {
            queue.remove(request.admissionId());
        }
    }

    /**
     * Sends a request, or lets it wait until there is capacity for it.
     *
     * @return the requests that are refused because of it, which may include the request itself
     */
    List<Rejected> admit(ActiveRequest request, long now) {
        WaitingRequest<ActiveRequest> waiting = describe(request, ++lastId, now);
        queue.setFirstEventMillis(Math.round(firstEventMillis));
        if (!earlyRetries.isEmpty() && earlyRetries.isEarly(request.fingerprint(), now)) {
            queue.recordEarlyRetry(waiting, now);
            meters.countAdmission("early retry");
        }
        if (!isOvertaking(request, queue) && trySend(waiting, now)) {
            return List.of();
        }
        return enqueue(waiting, now);
    }

    /**
     * Sends a stream again whose attempt has failed before its first event, or lets it wait like a new one. It keeps its
     * arrival time.
     *
     * @return the requests that are refused because of it, which may include the request itself
     */
    List<Rejected> readmit(ActiveRequest request, long now) {
        WaitingRequest<ActiveRequest> waiting = describe(request, ++lastId, now);
        queue.setFirstEventMillis(Math.round(firstEventMillis));
        meters.countAdmission("retry");
        if (!isOvertaking(request, queue) && retries.hasRetry(request, now) && trySend(waiting, now)) {
            return List.of();
        }
        return enqueue(waiting, now);
    }

    private static boolean isOvertaking(ActiveRequest request, AdmissionQueue<ActiveRequest> queue) {
        return queue.isWaiting(request.exchange().request().rank());
    }

    private List<Rejected> enqueue(WaitingRequest<ActiveRequest> waiting, long now) {
        ActiveRequest request = waiting.work();
        Either<AdmissionRefusal, List<Evicted<ActiveRequest>>> offered = queue.offer(waiting, now);
        if (offered.isLeft()) {
            return List.of(rejected(request, offered.getLeft(), now));
        }
        request.setAdmissionId(waiting.id());
        meters.countAdmission("queued");
        logWaiting(waiting, now);
        return rejected(offered.get(), now);
    }

    /**
     * Sends the waiting requests for which there is capacity now, most urgent first.
     *
     * @return the requests that are refused, as they can no longer be served in time
     */
    List<Rejected> check(long now) {
        List<Rejected> rejected = new ArrayList<>(applyConfiguration(now));
        if (queue.size() == 0) {
            return rejected;
        }
        rejected.addAll(rejected(queue.expire(now), now));
        SearchLimits limits = new SearchLimits();
        for (WaitingRequest<ActiveRequest> waiting : queue.inOrder(now, this::usedThroughPeers)) {
            boolean checked =
                    faults.run(waiting.work(), () -> check(waiting, limits, now).ifPresent(rejected::add));
            if (!checked) {
                limits.recordFailure(waiting.priority(), false);
            }
        }
        return rejected;
    }

    /** Capacity that an organisation uses through other gateways, in the services whose streams are admitted here. */
    private double usedThroughPeers(Optional<OrganisationId> organisation) {
        return organisation.stream()
                .flatMapToLong(id ->
                        services.stream().mapToLong(service -> fleet.demand().peersInUse(service, id)))
                .sum();
    }

    /** Sends a waiting request if there is capacity, or removes and returns it if no retry is left for it. */
    private Optional<Rejected> check(WaitingRequest<ActiveRequest> waiting, SearchLimits limits, long now) {
        ActiveRequest request = waiting.work();
        if (!retries.hasRetry(request, now)) {
            return retries.mayAwaitRetry(request, now) ? Optional.empty() : Optional.of(removeUnpaid(waiting));
        }
        if (!limits.permit(waiting.priority())) {
            return Optional.empty();
        }
        boolean restricted = request.attemptCount() > 0 && dispatcher.isRestricted(request, now);
        if (restricted && !request.tryStartSearch(now, limits.restrictedIntervalMillis())) {
            return Optional.empty();
        }
        if (!trySend(waiting, now)) {
            limits.recordFailure(waiting.priority(), restricted);
        }
        return Optional.empty();
    }

    private Rejected removeUnpaid(WaitingRequest<ActiveRequest> waiting) {
        queue.remove(waiting.id());
        return new Rejected(
                waiting.work(),
                Refusal.OVERLOADED,
                "no retry became available in time",
                Refusal.OVERLOADED.retryMillis());
    }

    /** Records the time to the first event of a stream, by which later predictions are calibrated. */
    void recordFirstEvent(ActiveRequest request, Attempt attempt, long now) {
        if (request.admissionId() != 0) {
            pace.recordFirstEvent(request, attempt, now);
        }
    }

    /** Records the pauses of an attempt that has ended. */
    void recordEnd(ActiveRequest request, Attempt attempt, long now) {
        if (request.admissionId() != 0 && request.attemptCount() == 1) {
            pace.recordPauses(request, attempt, now);
        }
    }

    private boolean trySend(WaitingRequest<ActiveRequest> waiting, long now) {
        ActiveRequest request = waiting.work();
        AdmissionPace.Contention contention = pace.contention(waiting, queue, now);
        request.setReservedRequests(contention.reservedRequests());
        Optional<Dispatcher.Target> target = chooseTarget(waiting, contention, now);
        if (target.isPresent() && retries.retryStarted(request.service(), now)) {
            target = chooseTarget(waiting, contention, now); // a started stream may have taken the capacity
        }
        if (target.isEmpty()) {
            return false;
        }
        if (queue.find(waiting.id()).isEmpty()) {
            queue.recordAdmittedAtOnce(waiting, now);
            meters.countAdmission("at once");
        } else {
            queue.recordAdmitted(waiting, now);
            meters.countAdmission("after a wait");
            logAdmitted(waiting, contention.arrivalsPerSecond(), now);
        }
        request.setAdmissionId(waiting.id());
        target.get().path().ifPresent(path -> observeFirstEvent(pace.firstEventMillis(request, path, now)));
        retries.consumeRetry(request, now);
        Dispatcher.Target sent = dispatcher.send(request, target.get(), now);
        pace.recordStart(sent.server().id(), now);
        return true;
    }

    private Optional<Dispatcher.Target> chooseTarget(
            WaitingRequest<ActiveRequest> waiting, AdmissionPace.Contention contention, long now) {
        Optional<Dispatcher.Target> target = dispatcher.chooseTarget(waiting.work(), now);
        if (target.isEmpty() && waiting.work().attemptCount() > 0) {
            retries.handleNoPath(waiting.work(), now);
        }
        boolean held = target.isPresent() && !pace.isKept(waiting, target.get(), contention, now);
        if (held) {
            meters.countAdmission("held back");
        }
        return held ? Optional.empty() : target;
    }

    /**
     * What {@link #admit} would decide now, without the started streams that it tries first. Works on copies of the state
     * that a decision changes, and changes no state but that of the request.
     *
     * @param search finds a server without side effects
     */
    AdmissionPreview preview(ActiveRequest request, Dispatcher.TargetSearch search, long now) {
        WaitingRequest<ActiveRequest> waiting = describe(request, lastId + 1, now);
        AdmissionQueue<ActiveRequest> copy = queue.copy();
        copy.setFirstEventMillis(Math.round(firstEventMillis));
        boolean overtakes = isOvertaking(request, copy);
        AdmissionPace.Contention contention = pace.contention(waiting, copy, now);
        request.setReservedRequests(contention.reservedRequests());
        Optional<Dispatcher.Target> target = search.find(request, now);
        Optional<Prospect> prospect = target.flatMap(found -> pace.prospect(waiting, found, contention, now));
        Fit fit = target.isPresent() ? pace.previewFit(request, prospect) : Fit.NO_CAPACITY;
        long waitMillis = copy.expectedWaitMillis(waiting.priority(), now);
        boolean admitted = !overtakes && fit.admits();
        Optional<AdmissionRefusal> refusal =
                admitted ? Optional.empty() : copy.offer(waiting, now).fold(Optional::of, evicted -> Optional.empty());
        return new AdmissionPreview(
                waiting,
                contention,
                target,
                prospect,
                fit,
                overtakes,
                queue.size(),
                waitMillis,
                refusal.map(refused -> rejection(request, refused, now)));
    }

    private void observeFirstEvent(double expectedMillis) {
        double bounded = Math.min(expectedMillis, MAX_FIRST_EVENT_MILLIS);
        firstEventMillis += SMOOTHING_FACTOR * (bounded - firstEventMillis);
    }

    /** @param now when it begins to wait, which counts for the log; a request that is sent again keeps its arrival time */
    private WaitingRequest<ActiveRequest> describe(ActiveRequest request, long id, long now) {
        Exchange.ClientRequest call = request.exchange().request();
        Route route = request.route();
        long patience = Math.max(
                MIN_PATIENCE_MILLIS,
                Math.max(PATIENCE_TARGETS * route.targetMillis(), PATIENCE_PAUSES * route.gapMillis()));
        long leavesMillis = Math.min(call.receivedMillis() + patience, call.deadlineMillis());
        EngineSpec spec = dispatcher.engineSpec(request).orElseThrow();
        request.setDefaultTokens(spec.meanRequestTokens());
        return new WaitingRequest<>(
                id,
                call.rank(),
                call.organisation(),
                Math.max(1.0, request.expectedTokens()) * spec.layers(),
                request.attemptCount() > 0 ? call.receivedMillis() : now,
                call.receivedMillis() + route.targetMillis(),
                leavesMillis,
                request);
    }

    /**
     * Applies a changed configuration to the waiting requests: their route with its timeout and target, and their rank.
     * Removes those that the configuration would not let wait here.
     */
    private List<Rejected> applyConfiguration(long now) {
        Optional<RoutingConfig> current = config.current();
        if (current.isEmpty() || current.get().version() == checkedVersion) {
            return List.of();
        }
        checkedVersion = current.get().version();
        services = current.get().services().stream()
                .map(ServiceSpec::name)
                .filter(service -> hasPriorities(current.get(), service))
                .collect(Collectors.toUnmodifiableSet());
        fleet.setDemandUse(FleetState.DemandUse.ADMISSION, !services.isEmpty());
        List<Rejected> rejected = new ArrayList<>();
        for (WaitingRequest<ActiveRequest> waiting : queue.inOrder(now)) {
            Optional<Exchange.ClientRequest> changed = reconfigured(waiting.work(), current.get());
            if (changed.isPresent()) {
                waiting.work().exchange().reconfigure(changed.get());
                queue.replace(describe(waiting.work(), waiting.id(), waiting.arrivalMillis()), now);
            } else {
                queue.remove(waiting.id());
                rejected.add(new Rejected(
                        waiting.work(),
                        Refusal.CONFIGURATION_CHANGED,
                        "its route or key has changed while it waited",
                        Refusal.CONFIGURATION_CHANGED.retryMillis()));
            }
        }
        return rejected;
    }

    private static boolean hasPriorities(RoutingConfig current, ServiceName service) {
        return current.service(service).flatMap(ServiceSpec::engine).isPresent()
                && current.streamPriorities(service).size() > 1;
    }

    /**
     * A request under a configuration; empty if it has no route, key or engines there, or if it may have run and may not
     * run again.
     */
    private static Optional<Exchange.ClientRequest> reconfigured(ActiveRequest request, RoutingConfig current) {
        Exchange.ClientRequest call = request.exchange().request();
        Optional<RoutingConfig.Organisation> keyHolder = call.head().key().flatMap(current::organisation);
        return current.route(call.host(), call.path())
                .filter(route -> route.kind() == RouteKind.STREAMING)
                .filter(route -> route.mayRetry() || request.possibleRunCount() == 0)
                .filter(route -> route.split().stream()
                        .anyMatch(weighted -> weighted.service().equals(request.service())))
                .filter(route -> !current.requiresKey(route) || keyHolder.isPresent())
                .filter(route -> current.service(request.service())
                        .flatMap(ServiceSpec::engine)
                        .isPresent())
                .map(route -> call.withConfiguration(route, keyHolder));
    }

    private List<Rejected> rejected(List<Evicted<ActiveRequest>> evicted, long now) {
        return evicted.stream()
                .map(entry -> rejected(entry.request().work(), entry.refusal(), now))
                .toList();
    }

    private Rejected rejected(ActiveRequest request, AdmissionRefusal refusal, long now) {
        Rejected rejected = rejection(request, refusal, now);
        if (request.possibleRunCount() == 0) { // the others are not told when to return
            earlyRetries.recordRefusal(request.fingerprint(), rejected.retryMillis(), now);
        }
        return rejected;
    }

    /** The client may return when there is capacity, but early enough to be served within the time that it has left. */
    private static Rejected rejection(ActiveRequest request, AdmissionRefusal refusal, long now) {
        long leftMillis = request.exchange().request().deadlineMillis() - now;
        long waitMillis = Math.max(MIN_WAIT_MILLIS, refusal.expectedWaitMillis());
        long retryMillis = Math.max(MIN_RETRY_MILLIS, Math.min(waitMillis, leftMillis / MAX_RETRY_PART));
        return new Rejected(request, Refusal.OVERLOADED, refusal.reason().detail(), retryMillis);
    }

    private void logWaiting(WaitingRequest<ActiveRequest> waiting, long now) {
        log.routine("admission", "waiting")
                .with("id", waiting.work().exchange().request().id())
                .with("priority", waiting.priority())
                .with("expectedWaitMillis", queue.expectedWaitMillis(waiting.priority(), now))
                .with("waiting", queue.size())
                .with("attempts", waiting.work().attemptCount())
                .with("peers", fleet.loads().peerCount())
                .write();
    }

    private void logAdmitted(WaitingRequest<ActiveRequest> waiting, double arrivals, long now) {
        log.routine("admission", "admitted")
                .with("id", waiting.work().exchange().request().id())
                .with("priority", waiting.priority())
                .with("waitedMillis", now - waiting.arrivalMillis())
                .with("moreUrgentPerSecond", Math.round(arrivals))
                .with("waiting", queue.size())
                .write();
    }
}
