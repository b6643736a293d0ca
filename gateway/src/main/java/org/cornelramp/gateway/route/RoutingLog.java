package org.cornelramp.gateway.route;

import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.path.PrefixAffinity;
import org.cornelramp.core.path.StagePath;
import org.cornelramp.gateway.log.EventLog;
import org.cornelramp.gateway.metrics.Meters;
import org.cornelramp.gateway.request.Attempt;
import org.cornelramp.gateway.request.AttemptEnd;
import org.cornelramp.gateway.request.EventIds;
import org.cornelramp.gateway.request.Exchange;
import org.cornelramp.gateway.request.Refusal;

/** Writes the log lines and metrics of requests in progress. Confined to the router's thread. */
final class RoutingLog {
    private final EventLog log;
    private final Meters meters;

    RoutingLog(EventLog log, Meters meters) {
        this.log = log;
        this.meters = meters;
    }

    void attemptFailed(ActiveRequest request, Attempt attempt, AttemptEnd end, long nowMillis) {
        log.line("route", "attempt failed")
                .with("id", request.exchange().request().id())
                .with("server", attempt.server().id())
                .with("kind", end.kind())
                .with("detail", end.detail())
                .with("faultAt", end.faultAt().map(Object::toString).orElse(""))
                .with("firstEvent", attempt.receivedIds().firstId())
                .with("lastEvent", attempt.receivedIds().lastId())
                .with("events", attempt.receivedIds().count())
                .with("afterMillis", nowMillis - attempt.startMillis())
                .write();
    }

    /** A response has ended with its connection, without a length or chunks. */
    void endedWithConnection(ActiveRequest request, Attempt attempt, AttemptEnd end, long nowMillis) {
        Exchange exchange = request.exchange();
        long quietSince = Math.max(exchange.lastEventMillis(), attempt.startMillis());
        log.line("route", "ended with connection")
                .with("id", exchange.request().id())
                .with("server", attempt.server().id())
                .with("path", attempt.path().map(StagePath::text).orElse(""))
                .with("kind", end.kind())
                .with("lastEvent", exchange.lastEventId().orElse(-1L))
                .with("quietMillis", nowMillis - quietSince)
                .write();
    }

    /**
     * The engines of a request's path hold the beginning of its prompt.
     *
     * @param changed whether the path was chosen for it
     */
    void promptPrefixHeld(ActiveRequest request, PrefixAffinity.Choice choice, boolean changed, long oldestMillis) {
        meters.countPromptPrefix(changed ? "chosen" : "kept", choice.savedTokens());
        log.routine("route", "prompt prefix")
                .with("id", request.exchange().request().id())
                .with("changed", changed)
                .with("savedTokens", choice.savedTokens())
                .with("savedMicros", Math.round(choice.savedMillis() * 1_000))
                .with("expectedMicros", Math.round(choice.firstEventMillis() * 1_000))
                .with("oldestMillis", oldestMillis)
                .write();
    }

    /** The first events of an attempt that resumes a stream have arrived. */
    void resumed(ActiveRequest request, Attempt attempt) {
        log.line("route", "resumed")
                .with("id", request.exchange().request().id())
                .with("server", attempt.server().id())
                .with("lastEvent", attempt.resumedAfterId())
                .with("nextEvent", attempt.receivedIds().firstId())
                .write();
    }

    /** Ids are left out between two events that one attempt has received, or before its first. */
    void gapReceived(Attempt attempt) {
        meters.countEventGap("received");
        gap("gap received", attempt.exchange(), attempt.receivedIds())
                .with("server", attempt.server().id())
                .with("resumedAfter", attempt.resumedAfterId())
                .write();
    }

    private void gapForwarded(Exchange exchange) {
        meters.countEventGap("forwarded");
        gap("gap forwarded", exchange, exchange.forwardedIds())
                .with("resumedAfter", (long)
                        exchange.request().head().lastEventId().orElse(-1L))
                .write();
    }

    private EventLog.Line gap(String event, Exchange exchange, EventIds ids) {
        EventIds.Gap first = ids.firstGap().orElseThrow();
        return log.line("route", event)
                .with("id", exchange.request().id())
                .with("gaps", ids.gapCount())
                .with("afterEvent", first.afterId())
                .with("nextEvent", first.nextId());
    }

    /**
     * @param left retries left for the service; may include some that are reserved for started streams
     * @param waitsForRetry whether the request waits for a retry
     */
    void noRetryLeft(ActiveRequest request, long left, int peers, boolean waitsForRetry) {
        boolean started = request.exchange().isCommitted();
        log.line("route", "no repeat left")
                .with("id", request.exchange().request().id())
                .with("begun", started)
                .with("left", left)
                .with("peers", peers)
                .with("outcome", waitsForRetry ? "waits for one" : "not repeated")
                .write();
    }

    /** An engine did not answer a probe, but streams through it deliver events. */
    void probeUnanswered(BackendServer engine, long lagMillis) {
        log.line("fleet", "answer missed")
                .with("server", engine.id())
                .with("why", "it forwards events")
                .with("lagMillis", lagMillis)
                .write();
    }

    /**
     * An exception ended a part of the router's work.
     *
     * @param id id of the request that was handled; empty if it was none
     * @param step what was done
     */
    void faulted(String id, String step, Throwable failure) {
        StackTraceElement[] trace = failure.getStackTrace();
        log.line("route", "exception")
                .with("id", id)
                .with("step", step)
                .with("why", failure)
                .with("at", trace.length == 0 ? "" : trace[0])
                .write();
    }

    /** Counts an exception, whether or not it is logged. */
    void countException(String step) {
        meters.countException(step);
    }

    void refused(ActiveRequest request, Refusal refusal, String why) {
        meters.countRefusal(refusal.name());
        log.line("request", "refused")
                .with("id", request.exchange().request().id())
                .with("as", refusal)
                .with("why", why)
                .with("attempts", request.attemptCount())
                .write();
    }

    /** No server is available now for the next attempt at a request. */
    void noPath(ActiveRequest request) {
        log.line("route", "no path")
                .with("id", request.exchange().request().id())
                .with("lastEvent", request.exchange().lastEventId().orElse(-1L))
                .with("avoids", request.avoidedServers().size())
                .with("begun", request.exchange().isCommitted())
                .write();
    }

    /** A request waits because all plain servers are known to be full. */
    void slotWaitStarted(ActiveRequest request, int servers, long expectedMillis, long maxMillis) {
        meters.countSlotWait("started");
        log.routine("route", "awaits slot")
                .with("id", request.exchange().request().id())
                .with("servers", servers)
                .with("expectedMillis", expectedMillis)
                .with("maxMillis", maxMillis)
                .with("attempts", request.attemptCount())
                .write();
    }

    /** The wait for a slot has ended: the request is sent or refused. */
    void slotWaitEnded(ActiveRequest request, String how) {
        meters.countSlotWait(how);
        log.routine("route", "slot wait ended")
                .with("id", request.exchange().request().id())
                .with("how", how)
                .write();
    }

    /** A failed attempt is not followed by another one, for a reason other than a lack of retries. */
    void notRetried(ActiveRequest request, String why) {
        log.line("route", "not repeated")
                .with("id", request.exchange().request().id())
                .with("why", why)
                .with("attempts", request.attemptCount())
                .with("mayHaveRun", request.possibleRunCount())
                .write();
    }

    /**
     * An answer ends before it is complete.
     *
     * @param seen how it was detected that the client has gone; empty if it has not
     * @param left retries left for the service
     */
    void brokenOff(ActiveRequest request, String why, String seen, long left, long nowMillis) {
        Exchange exchange = request.exchange();
        long quietSince =
                Math.max(exchange.lastEventMillis(), exchange.request().receivedMillis());
        log.line("request", "broken off")
                .with("id", exchange.request().id())
                .with("why", why)
                .with("seen", seen)
                .with("begun", exchange.isCommitted())
                .with("quietMillis", nowMillis - quietSince)
                .with("attempts", request.attemptCount())
                .with("mayHaveRun", request.possibleRunCount())
                .with("awaitsRepeat", request.needsRetry())
                .with("awaitsPath", request.isAwaitingPath())
                .with("repeatsLeft", left)
                .write();
    }

    /** A request is still in progress when the process ends. */
    void inProgressAtEnd(ActiveRequest request, long nowMillis) {
        Exchange.ClientRequest call = request.exchange().request();
        Attempt attempt = request.attempt();
        log.line("request", "in progress at end")
                .with("id", call.id())
                .with("route", call.route().name())
                .with("server", attempt == null ? "" : attempt.server().id())
                .with("sentMillisAgo", attempt == null ? -1 : nowMillis - attempt.startMillis())
                .with("answering", attempt != null && attempt.hasResponseStarted())
                .with("begun", request.exchange().isCommitted())
                .with("attempts", request.attemptCount())
                .with("mayHaveRun", request.possibleRunCount())
                .with("millis", nowMillis - call.receivedMillis())
                .with("leftMillis", call.deadlineMillis() - nowMillis)
                .write();
    }

    void ended(ActiveRequest request, String outcome, int status, long nowMillis) {
        Exchange exchange = request.exchange();
        Exchange.ClientRequest call = exchange.request();
        log.routine("request", "ended")
                .with("id", call.id())
                .with("route", call.route().name())
                .with("outcome", outcome)
                .with("status", status)
                .with("attempts", request.attemptCount())
                .with("millis", nowMillis - call.receivedMillis())
                .with("promptTokens", call.head().promptTokens())
                .with("guessedTokens", call.head().estimatedOutputTokens())
                .with("mostTokens", call.head().maxOutputTokens())
                .with("firstEventMillis", exchange.timeToFirstEventMillis())
                .with("longestPauseMillis", exchange.longestPauseMillis())
                .with("resumedAfter", (long) call.head().lastEventId().orElse(-1L))
                .with("firstEvent", exchange.forwardedIds().firstId())
                .with("lastEvent", exchange.forwardedIds().lastId())
                .with("events", exchange.forwardedIds().count())
                .write();
        if (exchange.forwardedIds().gapCount() > 0) {
            gapForwarded(exchange);
        }
        meters.recordRequest(call.route().kind(), outcome, nowMillis - call.receivedMillis());
        if (exchange.timeToFirstEventMillis() >= 0) {
            meters.recordTimeToFirstEvent(exchange.timeToFirstEventMillis());
            meters.recordLongestPause(exchange.longestPauseMillis());
        }
    }
}
