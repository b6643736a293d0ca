package org.cornelramp.gateway.route;

import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.path.StagePath;
import org.cornelramp.core.settings.HostPort;
import org.cornelramp.gateway.log.EventLog;
import org.cornelramp.gateway.metrics.Meters;
import org.cornelramp.gateway.request.Attempt;
import org.cornelramp.gateway.request.AttemptEnd;
import org.cornelramp.platform.PlatformFault;

/**
 * Decides which unframed responses are complete. Confined to the router's thread.
 *
 * <p>A response without a length and chunks ends with its connection, and so does one whose server crashes between two
 * events: the kernel closes the connections of a process that has ended in the usual way. A first engine also closes the
 * response when another engine of the path has failed.
 *
 * <p>Invariant: an end counts only after every server that took part has given a sign of life that it was asked for after
 * the end. Without one in time the response counts as broken, as the client must be able to see that.
 */
final class UnframedEnds {
    /** Longest wait for the signs of life, in milliseconds; clients leave a silent stream after two seconds. */
    private static final long MAX_WAIT_MILLIS = 1_000;

    private final FleetState fleet;
    private final LifeQuestions questions;
    private final long stallMillis;
    private final EventLog log;
    private final Meters meters;
    private final Settler settler;
    private final IdentityHashMap<ActiveRequest, Unconfirmed> unconfirmed = new IdentityHashMap<>();

    /** Handles the end of an attempt that has been decided. */
    interface Settler {
        void settle(ActiveRequest request, Attempt attempt, AttemptEnd end, long nowMillis);
    }

    /**
     * @param questionsBefore number of questions that were asked before the end, which say nothing about it
     * @param awaited the servers that have given no sign of life since the end
     */
    private record Unconfirmed(
            Attempt attempt,
            AttemptEnd end,
            long endMillis,
            long questionsBefore,
            Map<BackendServerId, BackendServer> awaited) {}

    /**
     * @param stallMillis time after which a first engine closes the streams that wait for an engine of their path
     * @param settler called once with each end, unless its request is removed before
     */
    UnframedEnds(
            FleetState fleet, LifeQuestions questions, long stallMillis, EventLog log, Meters meters, Settler settler) {
        this.fleet = fleet;
        this.questions = questions;
        this.stallMillis = stallMillis;
        this.log = log;
        this.meters = meters;
        this.settler = settler;
    }

    /** Decides about the end of a request's attempt, which is unframed; the decision follows within a second. */
    void decide(ActiveRequest request, Attempt attempt, AttemptEnd end, long now) {
        Map<BackendServerId, BackendServer> servers = new HashMap<>();
        attempt.path()
                .map(StagePath::hops)
                .orElse(List.of())
                .forEach(hop -> servers.put(hop.server().id(), hop.server()));
        servers.put(attempt.server().id(), attempt.server());
        unconfirmed.put(request, new Unconfirmed(attempt, end, now, questions.count(), servers));
        if (servers.size() > 1 && hasStalled(request, attempt, now)) {
            settle(request, Optional.of("the stream stalled before its end"), Optional.empty(), now);
        } else if (!questions.canAsk(attempt.server())) {
            settle(
                    request,
                    Optional.of("the configuration names no health path to ask for a sign of life"),
                    Optional.empty(),
                    now);
        } else {
            servers.values().forEach(questions::ask);
        }
    }

    /** An engine that waits for another one of the path sends nothing until it gives up. */
    private boolean hasStalled(ActiveRequest request, Attempt attempt, long now) {
        long since = Math.max(request.exchange().lastEventMillis(), attempt.startMillis());
        return now - since > stallMillis - stallMillis / 4 + fleet.lagMillis();
    }

    /** Whether the end of a request's last attempt is not decided yet. */
    boolean isUndecided(ActiveRequest request) {
        return unconfirmed.containsKey(request);
    }

    /** Forgets a request that has ended. */
    void remove(ActiveRequest request) {
        unconfirmed.remove(request);
    }

    /** Handles the result of a question. */
    void handleLifeAsked(RouterEvent.LifeAsked result, long now) {
        for (Map.Entry<ActiveRequest, Unconfirmed> one : List.copyOf(unconfirmed.entrySet())) {
            Unconfirmed end = one.getValue();
            boolean awaited = end.awaited().containsKey(result.server().id());
            if (awaited && result.question() > end.questionsBefore()) {
                handleLifeAsked(one.getKey(), end, result, now);
            }
        }
    }

    private void handleLifeAsked(ActiveRequest request, Unconfirmed end, RouterEvent.LifeAsked result, long now) {
        BackendServer server = result.server();
        Optional<PlatformFault> fault = result.fault();
        if (fault.isEmpty()) {
            end.awaited().remove(server.id());
            if (end.awaited().isEmpty()) {
                settle(request, Optional.empty(), Optional.empty(), now);
            }
        } else if (fault.get().kind() == PlatformFault.Kind.NOT_LISTENING
                || fault.get().kind() == PlatformFault.Kind.CONFLICT) {
            String why = "server " + server.id() + " has ended: " + fault.get();
            settle(request, Optional.of(why), Optional.of(server), now);
        }
    }

    /** Asks again where there is no answer, and decides where none has come in time. */
    void check(long now) {
        for (Map.Entry<ActiveRequest, Unconfirmed> one : List.copyOf(unconfirmed.entrySet())) {
            Unconfirmed end = one.getValue();
            if (now - end.endMillis() >= MAX_WAIT_MILLIS) {
                String why = "no sign of life from " + end.awaited().keySet();
                settle(one.getKey(), Optional.of(why), Optional.empty(), now);
            } else {
                end.awaited().values().forEach(questions::ask);
            }
        }
    }

    /**
     * @param fault why the response does not count as complete; empty if it does
     * @param ended the server that is known to have ended
     */
    private void settle(ActiveRequest request, Optional<String> fault, Optional<BackendServer> ended, long now) {
        Unconfirmed one = unconfirmed.remove(request);
        Optional<HostPort> other = ended.filter(
                        server -> !server.id().equals(one.attempt().server().id()))
                .map(BackendServer::address);
        AttemptEnd end = fault.map(why -> one.end().refuted(why, other)).orElseGet(one.end()::confirmed);
        meters.countUnframedEnd(fault.isEmpty() ? "confirmed" : "refuted");
        log.line("route", fault.isEmpty() ? "end confirmed" : "end refuted")
                .with("id", request.exchange().request().id())
                .with("server", one.attempt().server().id())
                .with("why", fault.orElse("all its servers live"))
                .with("afterMillis", now - one.endMillis())
                .write();
        settler.settle(request, one.attempt(), end, now);
    }
}
