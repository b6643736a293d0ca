package org.cornelramp.gateway.route;

import java.util.HashMap;
import java.util.Map;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.gateway.log.EventLog;
import org.cornelramp.gateway.metrics.Meters;
import org.cornelramp.gateway.request.Attempt;
import org.cornelramp.platform.ResponseHead;

/**
 * Handles what backend servers say in their answers about the requests that they take. Confined to the router's thread.
 */
final class ServerNoticeHandler {
    private final FleetState fleet;
    private final EventLog log;
    private final Meters meters;
    private final Map<BackendServerId, Double> limits = new HashMap<>();

    ServerNoticeHandler(FleetState fleet, EventLog log, Meters meters) {
        this.fleet = fleet;
        this.log = log;
        this.meters = meters;
    }

    /** Handles the head of an attempt's response, if it has arrived since the last call. */
    void handleResponseHead(Attempt attempt, long now) {
        attempt.takeResponseHead().ifPresent(head -> handleLimit(attempt, head, now));
    }

    private void handleLimit(Attempt attempt, ResponseHead head, long now) {
        limits.keySet().removeIf(id -> fleet.registry().server(id).isEmpty());
        head.notice().unreadable().ifPresent(value -> log.routine("fleet", "limit unreadable")
                .with("server", attempt.server().id())
                .with("value", value)
                .write());
        if (head.notice().requestsPerSecond().isPresent()) {
            logChange(attempt, head.notice().requestsPerSecond().get(), now);
        } else if (head.notice().isUnlimited() && head.isSuccess() && attempt.matchesRequest(head)) {
            logChange(attempt, 0, now);
        }
    }

    /** @param limit requests per second; 0 for no limit */
    private void logChange(Attempt attempt, double limit, long now) {
        BackendServerId server = attempt.server().id();
        Double before = limit == 0 ? limits.remove(server) : limits.put(server, limit);
        if (limit == (before == null ? 0 : before)) {
            return;
        }
        String change = limit == 0 ? "ended" : before == null ? "named" : "changed";
        meters.countLimitChange(change);
        log.line("fleet", "limit " + change)
                .with("server", server)
                .with("perSecond", String.valueOf(limit))
                .with("before", String.valueOf(before))
                .with("id", attempt.exchange().request().id())
                .with("sentMillisAgo", now - attempt.startMillis())
                .write();
    }
}
