package org.cornelramp.bench.gateway;

import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.cornelramp.bench.gateway.FaultHistory.Target;
import org.cornelramp.bench.soak.Violations;
import org.cornelramp.platform.standin.ObservedRequest;

/**
 * Checks that gateways keep to what backend servers have said in their answers about the requests that they take: a
 * limit on the rate, a time of rest, a shutdown. A gateway that a fault affected meanwhile is left out. Confined to one
 * thread.
 */
final class NoticeChecks {
    /** Time from the first naming of a limit until it must be kept. */
    private static final long SETTLE_MILLIS = 3_000;

    private static final long WINDOW_MILLIS = 4_000;
    private static final double RATE_FACTOR = 1.5;
    private static final double RATE_MARGIN = 5;

    /** Time from an answer until its gateway must keep to it. */
    private static final long REACTION_MILLIS = 500;

    private static final int ALLOWED_IN_REST = 2;
    /** Faults in which a gateway forgets what it was told, or cannot act on it. */
    private static final Set<Target> EXCUSING = EnumSet.of(Target.PROCESS, Target.STOP);

    private final List<ObservedRequest> observedRequests;
    private final FaultHistory faultHistory;
    private final Violations violations;
    private final Map<String, Call> callsById;

    NoticeChecks(
            List<Call> calls,
            List<ObservedRequest> observedRequests,
            FaultHistory faultHistory,
            Violations violations) {
        this.observedRequests = observedRequests;
        this.faultHistory = faultHistory;
        this.violations = violations;
        this.callsById = calls.stream().collect(Collectors.toMap(Call::id, call -> call));
    }

    /** Runs all checks and adds what they find to the violations. */
    void run() {
        observedRequests.stream()
                .filter(request -> callsById.containsKey(request.requestId()))
                .collect(Collectors.groupingBy(ObservedRequest::server))
                .forEach(this::checkServer);
    }

    private void checkServer(String server, List<ObservedRequest> requests) {
        requests.stream().filter(request -> request.restMillis() > 0).forEach(asked -> checkRest(asked, requests));
        requests.forEach(request -> checkLeaving(request, requests));
        requests.stream()
                .filter(request -> request.requestsPerSecond() > 0)
                .collect(Collectors.groupingBy(ObservedRequest::requestsPerSecond))
                .forEach((limit, limited) -> checkLimit(server, limit, limited));
    }

    private int gateway(ObservedRequest request) {
        return callsById.get(request.requestId()).gateway();
    }

    private boolean isDisturbed(int gateway, long from, long to) {
        return faultHistory.isAffected(EXCUSING, gateway, from, to);
    }

    /** When a gateway had first passed on an answer of the server with a notice. */
    private OptionalLong told(int gateway, List<ObservedRequest> requests, Predicate<ObservedRequest> notice) {
        return requests.stream()
                .filter(request -> gateway(request) == gateway && notice.test(request))
                .mapToLong(ObservedRequest::endMillis)
                .min();
    }

    private void checkRest(ObservedRequest asked, List<ObservedRequest> requests) {
        int gateway = gateway(asked);
        long from = asked.endMillis() + REACTION_MILLIS;
        long to = asked.endMillis() + asked.restMillis();
        long arrivals = requests.stream()
                .filter(request -> gateway(request) == gateway)
                .filter(request -> request.arrivalMillis() >= from && request.arrivalMillis() < to)
                .count();
        if (arrivals > ALLOWED_IN_REST && !isDisturbed(gateway, asked.arrivalMillis(), to)) {
            violations.add(
                    "rest",
                    asked.server() + " had asked gateway " + gateway + " for " + asked.restMillis()
                            + " ms of rest and got " + arrivals + " requests");
        }
    }

    private void checkLeaving(ObservedRequest request, List<ObservedRequest> requests) {
        int gateway = gateway(request);
        OptionalLong told = told(gateway, requests, ObservedRequest::isAnnouncedLeaving);
        long arrival = request.arrivalMillis();
        if (told.isPresent()
                && arrival > told.getAsLong() + GatewayEnvironment.DRAIN_MILLIS
                && !isDisturbed(gateway, told.getAsLong(), arrival)) {
            violations.add(
                    "drain",
                    request.requestId() + " reached " + request.server() + " " + (arrival - told.getAsLong())
                            + " ms after that had announced its shutdown");
        }
    }

    private void checkLimit(String server, double limit, List<ObservedRequest> limited) {
        long named =
                limited.stream().mapToLong(ObservedRequest::endMillis).min().orElseThrow();
        List<ObservedRequest> counted = limited.stream()
                .filter(request -> request.arrivalMillis() >= named + SETTLE_MILLIS)
                .filter(request -> isBound(request, limited))
                .toList();
        double allowed = RATE_FACTOR * limit * WINDOW_MILLIS / 1_000 + RATE_MARGIN;
        for (ObservedRequest first : counted) {
            long from = first.arrivalMillis();
            long arrivals = counted.stream()
                    .filter(request -> request.arrivalMillis() >= from)
                    .filter(request -> request.arrivalMillis() <= from + WINDOW_MILLIS)
                    .count();
            if (arrivals > allowed) {
                violations.add(
                        "limit",
                        server + " had named " + limit + " requests a second and got " + arrivals + " in 4 s; allowed "
                                + allowed);
                return;
            }
        }
    }

    /** Whether the gateway of a request had been told the limit and no fault has affected it since. */
    private boolean isBound(ObservedRequest request, List<ObservedRequest> limited) {
        int gateway = gateway(request);
        OptionalLong told = told(gateway, limited, any -> true);
        return told.isPresent()
                && request.arrivalMillis() >= told.getAsLong() + REACTION_MILLIS
                && !isDisturbed(gateway, told.getAsLong(), request.arrivalMillis());
    }
}
