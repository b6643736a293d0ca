package org.cornelramp.gateway.route;

import java.util.Optional;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.limit.ServerRateLimits;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.gateway.log.EventLog;
import org.cornelramp.gateway.metrics.Meters;
import org.cornelramp.gateway.peer.PeerUpdate;
import org.cornelramp.gateway.request.Attempt;
import org.cornelramp.platform.ResponseHead;

/**
 * Handles what backend servers say in their answers, to this gateway or to a peer, about the requests that they take.
 * Confined to the router's thread.
 */
final class ServerNoticeHandler {
    private final FleetState fleet;
    private final EventLog log;
    private final Meters meters;

    ServerNoticeHandler(FleetState fleet, EventLog log, Meters meters) {
        this.fleet = fleet;
        this.log = log;
        this.meters = meters;
    }

    /** Handles the head of an attempt's response, if it has arrived since the last call. */
    void handleResponseHead(Attempt attempt, long now) {
        attempt.takeResponseHead().ifPresent(head -> {
            handleLimit(attempt, head, now);
            handleRest(attempt, head, now);
            head.load().ifPresent(load -> handleLoad(attempt, load, now));
            if (head.notice().leaving()) {
                handleLeaving(attempt, now);
            }
        });
    }

    private void handleLimit(Attempt attempt, ResponseHead head, long now) {
        BackendServerId server = attempt.server().id();
        head.notice().unreadableLimit().ifPresent(value -> logUnreadable("limit", server, value));
        Optional<Double> limit = head.notice().requestsPerSecond();
        if (limit.isPresent()) {
            fleet.rateLimits().recordLimit(server, limit.get(), now).ifPresent(this::logChange);
        } else if (head.notice().isUnlimited() && head.isSuccess() && attempt.matchesRequest(head)) {
            fleet.rateLimits().recordNoLimit(server, attempt.startMillis(), now).ifPresent(this::logChange);
        }
    }

    /** Lets the server that answered rest, and the engine that it names as the cause: both have turned the request away. */
    private void handleRest(Attempt attempt, ResponseHead head, long now) {
        BackendServer server = attempt.server();
        head.notice().unreadableRest().ifPresent(value -> logUnreadable("rest", server.id(), value));
        head.notice().restMillis().ifPresent(millis -> {
            recordRest(attempt, server, millis, now);
            head.faultyEngine()
                    .flatMap(address -> fleet.serverAt(address, server.service()))
                    .ifPresent(named -> recordRest(attempt, named, millis, now));
        });
    }

    private void recordRest(Attempt attempt, BackendServer server, long millis, long now) {
        if (fleet.restingServers().recordRest(server.id(), millis, now)) {
            meters.countServerRest("asked");
            log.line("fleet", "rest asked")
                    .with("server", server.id())
                    .with("millis", millis)
                    .with("id", attempt.exchange().request().id())
                    .write();
        }
    }

    /** Records the load of a plain server; an engine's load is known from its report and the gateways' own counts. */
    private void handleLoad(Attempt attempt, ResponseHead.ServerLoad load, long now) {
        BackendServerId server = attempt.server().id();
        int requests = (int) Math.min(Integer.MAX_VALUE, (long) load.running() + load.waiting());
        if (attempt.path().isEmpty() && fleet.plainStats().loadReported(server, requests, load.slots(), now)) {
            meters.countFullServer("reported");
            log.routine("fleet", "full")
                    .with("server", server)
                    .with("why", "reported")
                    .with("running", load.running())
                    .with("waiting", load.waiting())
                    .with("slots", load.slots())
                    .with("forMillis", fleet.plainStats().millisUntilSlot(server, now))
                    .write();
        }
    }

    private void handleLeaving(Attempt attempt, long now) {
        BackendServerId server = attempt.server().id();
        if (fleet.registry().markLeaving(server, now)) {
            meters.countAnnouncedShutdown();
            log.line("fleet", "leaving announced")
                    .with("server", server)
                    .with("id", attempt.exchange().request().id())
                    .write();
        }
    }

    private void logUnreadable(String what, BackendServerId server, String value) {
        log.routine("fleet", what + " unreadable")
                .with("server", server)
                .with("value", value)
                .write();
    }

    /** Applies what a peer tells about limits. */
    void handlePeerUpdate(PeerUpdate update, long now) {
        fleet.rateLimits().recordPeer(update.name(), now);
        fleet.rateLimits()
                .applyPeerUpdate(
                        update.name(), update.sender().incarnation(), update.rateLimits(), this::isRegistered, now)
                .forEach(this::logChange);
    }

    /** Ends the limits that no gateway names any more, and the rests that are over. */
    void expire(long now) {
        fleet.restingServers().removeRested(now).forEach(server -> {
            meters.countServerRest("ended");
            log.line("fleet", "rest ended").with("server", server).write();
        });
        fleet.rateLimits().expire(this::isRegistered, now).forEach(this::logChange);
    }

    private boolean isRegistered(BackendServerId id) {
        return fleet.registry().server(id).isPresent();
    }

    private void logChange(ServerRateLimits.Change change) {
        String what = change.after().isEmpty() ? "ended" : change.before().isEmpty() ? "named" : "changed";
        meters.countLimitChange(what);
        log.line("fleet", "limit " + what)
                .with("server", change.server())
                .with("perSecond", change.after().map(Object::toString).orElse(""))
                .with("before", change.before().map(Object::toString).orElse(""))
                .with("toldBy", change.source().orElse("nobody any more"))
                .with("gateways", fleet.rateLimits().sharerCount(change.server()))
                .write();
    }
}
