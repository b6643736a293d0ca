package org.cornelramp.bench.gateway;

import java.util.EnumSet;
import java.util.List;
import org.cornelramp.bench.gateway.FaultHistory.Target;
import org.cornelramp.bench.soak.Violations;
import org.cornelramp.platform.standin.ObservedRequest;

/**
 * Checks that a request which crashes its servers is held back, and no other. A gateway that a fault affected meanwhile is
 * left out. Confined to one thread.
 */
final class PoisonChecks {
    /** Crashes after which a request must reach hardly any servers, as on the users' deployments. */
    private static final int CRASHES = 3;

    /** Sends to servers that the users allow after that. */
    private static final int ALLOWED_SENDS = 3;

    /** Time without a fault after which a gateway counts, and from the last of these crashes on. */
    private static final long STABLE_MILLIS = 3_000;

    /** Text of the answer to a request that is refused because servers have crashed under it. */
    private static final String SET_ASIDE = "crashed while they ran this request";

    private final List<Call> calls;
    private final List<ObservedRequest> observedRequests;
    private final PoisonRecords poison;
    private final FaultHistory faultHistory;
    private final Violations violations;

    PoisonChecks(
            List<Call> calls,
            List<ObservedRequest> observedRequests,
            PoisonRecords poison,
            FaultHistory faultHistory,
            Violations violations) {
        this.calls = calls;
        this.observedRequests = observedRequests;
        this.poison = poison;
        this.faultHistory = faultHistory;
        this.violations = violations;
    }

    /** Runs the checks for the given number of poison requests. */
    void run(int requests) {
        for (int request = 0; request < requests; request++) {
            checkSends(request);
        }
        for (Call call : calls) {
            boolean setAside = call.answer().stream()
                    .flatMap(answer -> answer.lines().stream())
                    .anyMatch(line -> line.contains(SET_ASIDE));
            if (setAside) {
                violations.add("innocent", call.id() + " was refused for crashes that it has not caused");
            }
        }
    }

    private void checkSends(int request) {
        List<Long> crashes = poison.crashes(request);
        System.out.println("poison request " + request + " (" + PoisonRecords.kind(request) + "): " + crashes.size()
                + " servers crashed, " + sendsAfter(request, Long.MIN_VALUE) + " sends");
        if (crashes.size() < CRASHES) {
            return;
        }
        long late = sendsAfter(request, crashes.get(CRASHES - 1) + STABLE_MILLIS);
        if (late > ALLOWED_SENDS) {
            violations.add(
                    "poison",
                    "request " + request + " was sent to servers " + late + " times more after " + CRASHES
                            + " crashes; " + crashes.size() + " in all");
        }
    }

    private long sendsAfter(int request, long millis) {
        return observedRequests.stream()
                .filter(observed -> observed.arrivalMillis() > millis)
                .filter(observed -> isSentBySteadyGateway(observed, request))
                .count();
    }

    private boolean isSentBySteadyGateway(ObservedRequest observed, int request) {
        PoisonRecords.Arrival arrival = PoisonRecords.arrival(observed.requestId());
        return arrival != null
                && arrival.request() == request
                && !faultHistory.isAffected(
                        EnumSet.of(Target.PROCESS, Target.STOP, Target.STORE),
                        arrival.gateway(),
                        observed.arrivalMillis() - STABLE_MILLIS,
                        observed.arrivalMillis());
    }
}
