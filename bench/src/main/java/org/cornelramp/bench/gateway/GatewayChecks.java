package org.cornelramp.bench.gateway;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.cornelramp.bench.gateway.Disturbances.Target;
import org.cornelramp.bench.soak.Violations;
import org.cornelramp.platform.standin.ObservedRequest;
import org.cornelramp.platform.standin.StandInConfig;
import org.cornelramp.platform.standin.StandInHop;

/**
 * Checks the promises of the product on what clients and backend servers saw in a run. Confined to one thread.
 *
 * <p>What must hold always is checked without exception. Bounds in time hold only for a gateway that no fault strikes:
 * whoever stands still cannot hurry.
 */
final class GatewayChecks {
    private static final int OK = 200;

    /** Answers that promise that the request has not run and will not run. */
    private static final Set<Integer> NOT_RUN = Set.of(408, 421, 429, 503);

    /** Answers that a proper request may get: the server's own, or the gateway's that promise nothing. */
    private static final Set<Integer> POSSIBLE = Set.of(0, OK, 500, 502, 503, 504);

    /** Calm before a bound in time holds again, as on the users' deployments. */
    private static final long STABLE_MILLIS = 3_000;

    /** Half a second, as on the users' deployments, and the delays of a busy machine. */
    private static final long LEFT_MILLIS = 2_000;

    private static final long OVERDUE_MILLIS = 2_000;
    private static final double RETRY_RATIO = 0.2;
    private static final int RETRY_RESERVE = 20;
    private static final long RETRY_WINDOW_MILLIS = 10_000;
    private static final Set<Target> NO_BACKEND = EnumSet.complementOf(EnumSet.of(Target.BACKEND));
    private static final Set<Target> NO_STOP = EnumSet.complementOf(EnumSet.of(Target.STOP));

    private final List<Call> calls;
    private final List<ObservedRequest> arrivals;
    private final Disturbances disturbances;
    private final Violations violations;
    private final Map<String, List<ObservedRequest>> byRequest;
    private final Map<String, Call> byId;

    GatewayChecks(List<Call> calls, List<ObservedRequest> arrivals, Disturbances disturbances, Violations violations) {
        this.calls = calls;
        this.arrivals = arrivals;
        this.disturbances = disturbances;
        this.violations = violations;
        this.byRequest = arrivals.stream().collect(Collectors.groupingBy(ObservedRequest::requestId));
        this.byId = calls.stream().collect(Collectors.toMap(Call::id, call -> call));
    }

    /** Checks all. */
    void run() {
        for (Call call : calls) {
            checkAnswer(call);
            checkRuns(call);
            checkInTime(call);
            checkLeft(call);
            checkStop(call);
        }
        arrivals.forEach(this::checkArrival);
        checkRetries(StandInConfig.ENGINES, EnumSet.of(CallKind.CHAT));
        checkRetries(StandInConfig.PLAIN, EnumSet.of(CallKind.LOOK, CallKind.BOOK));
    }

    /** The whole answer to its own request, with every event once and in order, or one that does not look whole. */
    private void checkAnswer(Call call) {
        if (call.answer().isEmpty()) {
            return;
        }
        List<String> got = call.answer().get().lines();
        List<String> due = call.kind().wholeAnswer(call.id());
        if (!POSSIBLE.contains(call.status())) {
            violations.add("denied", call.id() + " got status " + call.status());
        }
        boolean ofServer = call.status() == OK || call.status() == 500;
        if (ofServer && call.isWhole() && !got.equals(due)) {
            violations.add(
                    "whole", call.id() + " got " + got.size() + " lines of " + due.size() + " as a whole answer");
        }
        boolean partWrong = !got.isEmpty() && !isStartOf(got, due);
        if (ofServer && !call.isWhole() && partWrong) {
            violations.add("order", call.id() + " got lines that are not the start of its answer: " + got);
        }
    }

    private static boolean isStartOf(List<String> got, List<String> due) {
        int last = got.size() - 1;
        return got.size() <= due.size()
                && got.subList(0, last).equals(due.subList(0, last))
                && due.get(last).startsWith(got.get(last));
    }

    private void checkRuns(Call call) {
        long runs = byRequest.getOrDefault(call.id(), List.of()).stream()
                .filter(ObservedRequest::hasRun)
                .count();
        if (call.kind() == CallKind.BOOK && runs > 1) {
            violations.add("twice", call.id() + " ran " + runs + " times");
        }
        if (NOT_RUN.contains(call.status()) && runs > 0) {
            violations.add("refused", call.id() + " was refused with " + call.status() + " and ran " + runs + " times");
        }
        if (call.status() == 503 && !call.answer().orElseThrow().retryAfter()) {
            violations.add("refused", call.id() + " was not told when to come back");
        }
    }

    private void checkInTime(Call call) {
        long due = call.startMillis() + call.kind().deadlineMillis() + OVERDUE_MILLIS;
        boolean calm = !disturbances.struck(NO_BACKEND, call.gateway(), call.startMillis() - STABLE_MILLIS, due);
        if (!call.hasLeft() && call.endMillis() > due && calm) {
            violations.add("answer", call.id() + " has no final answer two seconds after its deadline");
        }
    }

    private void checkLeft(Call call) {
        long limit = call.hasLeft() ? call.leftMillis() + LEFT_MILLIS : Long.MAX_VALUE;
        for (ObservedRequest arrival : byRequest.getOrDefault(call.id(), List.of())) {
            boolean late = arrival.endMillis() > limit || arrival.arrivalMillis() > limit;
            Set<Target> any = EnumSet.allOf(Target.class);
            if (late && !disturbances.struck(any, call.gateway(), call.startMillis() - STABLE_MILLIS, limit)) {
                violations.add("left", arrival.server() + " works on " + call.id() + " though its client has left");
            }
        }
    }

    /** A planned stop cuts nothing that it has taken, where it is the only thing that happens. */
    private void checkStop(Call call) {
        boolean broken = !call.hasLeft() && (!call.isWhole() || call.status() == 502 || call.status() == 504);
        boolean stopped =
                disturbances.struck(EnumSet.of(Target.STOP), call.gateway(), call.startMillis(), call.endMillis());
        boolean other =
                disturbances.struck(NO_STOP, call.gateway(), call.startMillis() - STABLE_MILLIS, call.endMillis());
        boolean taken = byRequest.containsKey(call.id());
        if (broken && stopped && taken && !other) {
            violations.add("stop", call.id() + " was cut by a planned stop: " + call.answer());
        }
    }

    private void checkArrival(ObservedRequest arrival) {
        String what = arrival.requestId() + " at " + arrival.server();
        if (arrival.isKeyLeaked() || !arrival.organisation().equals(StandInConfig.ORGANISATION)) {
            violations.add("organisation", what + " came with a key or for " + arrival.organisation());
        }
        boolean engine = arrival.service().equals(StandInConfig.ENGINES);
        if (engine && arrival.hasRun() && !StandInHop.coverAllLayersOnce(arrival.hops(), GatewayWorld.LAYERS)) {
            violations.add("layers", what + " passed " + arrival.hops());
        }
        Call call = byId.get(arrival.requestId());
        if (call != null) {
            checkDrain(call, arrival);
        }
    }

    private void checkDrain(Call call, ObservedRequest arrival) {
        long since = arrival.leavingSinceMillis();
        boolean late = since != Long.MAX_VALUE && arrival.arrivalMillis() - since > GatewayWorld.DRAIN_MILLIS;
        if (late && !disturbances.struck(NO_BACKEND, call.gateway(), since - STABLE_MILLIS, arrival.arrivalMillis())) {
            violations.add(
                    "drain",
                    call.id() + " reached " + arrival.server() + " " + (arrival.arrivalMillis() - since)
                            + " ms after that was registered as leaving");
        }
    }

    /** Repeats of all gateways together keep to a share of the requests, in every window. */
    private void checkRetries(String service, Set<CallKind> kinds) {
        List<Long> requests = calls.stream()
                .filter(call -> kinds.contains(call.kind()))
                .map(Call::startMillis)
                .sorted()
                .toList();
        Deque<ObservedRequest> window = new ArrayDeque<>();
        Set<String> seen = new HashSet<>();
        Map<ObservedRequest, Boolean> repeats = new HashMap<>();
        List<ObservedRequest> ordered = new ArrayList<>(arrivals);
        ordered.sort(Comparator.comparingLong(ObservedRequest::arrivalMillis));
        int inWindow = 0;
        int worst = 0;
        for (ObservedRequest arrival : ordered) {
            if (!arrival.service().equals(service) || !arrival.requestId().startsWith("r")) {
                continue;
            }
            boolean repeat = !seen.add(arrival.requestId());
            repeats.put(arrival, repeat);
            window.add(arrival);
            inWindow += repeat ? 1 : 0;
            while (window.peek().arrivalMillis() <= arrival.arrivalMillis() - RETRY_WINDOW_MILLIS) {
                inWindow -= repeats.get(window.remove()) ? 1 : 0;
            }
            double allowed = RETRY_RATIO * requestsBefore(requests, arrival.arrivalMillis()) + RETRY_RESERVE;
            worst = inWindow > allowed ? Math.max(worst, inWindow) : worst;
        }
        if (worst > 0) {
            violations.add("retries", worst + " repeats at " + service + " within ten seconds");
        }
    }

    /** The most requests of this window and of the one before it. */
    private static long requestsBefore(List<Long> requests, long now) {
        long here = requests.stream()
                .filter(at -> at > now - RETRY_WINDOW_MILLIS && at <= now)
                .count();
        long before = requests.stream()
                .filter(at -> at > now - 2 * RETRY_WINDOW_MILLIS && at <= now - RETRY_WINDOW_MILLIS)
                .count();
        return Math.max(here, before);
    }
}
