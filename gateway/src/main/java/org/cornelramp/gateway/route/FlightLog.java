package org.cornelramp.gateway.route;

import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.gateway.log.EventLog;
import org.cornelramp.gateway.metrics.Meters;
import org.cornelramp.gateway.request.Attempt;
import org.cornelramp.gateway.request.AttemptEnd;
import org.cornelramp.gateway.request.Exchange;
import org.cornelramp.gateway.request.Refusal;

/** Logs and counts what becomes of requests under way. Owned by the router's duty. */
final class FlightLog {
    private final EventLog log;
    private final Meters meters;

    FlightLog(EventLog log, Meters meters) {
        this.log = log;
        this.meters = meters;
    }

    void attemptFailed(Flight flight, Attempt attempt, AttemptEnd end, long nowMillis) {
        log.line("route", "attempt failed")
                .with("id", flight.exchange().call().id())
                .with("server", attempt.server().id())
                .with("kind", end.kind())
                .with("detail", end.detail())
                .with("faultAt", end.faultAt().map(Object::toString).orElse(""))
                .with("afterMillis", nowMillis - attempt.startMillis())
                .write();
    }

    /**
     * @param left repeats left for the service, which may be some that only begun streams may take
     * @param waits whether it waits until there is one
     */
    void noRepeat(Flight flight, long left, int peers, boolean waits) {
        boolean begun = flight.exchange().isCommitted();
        log.line("route", "no repeat left")
                .with("id", flight.exchange().call().id())
                .with("begun", begun)
                .with("left", left)
                .with("peers", peers)
                .with("outcome", waits ? "waits for one" : "not repeated")
                .write();
    }

    /** An engine did not answer a question, but events pass it. */
    void answerMissed(BackendServer engine, long lagMillis) {
        log.line("fleet", "answer missed")
                .with("server", engine.id())
                .with("why", "events pass it")
                .with("lagMillis", lagMillis)
                .write();
    }

    void refused(Flight flight, Refusal refusal, String why) {
        meters.refused(refusal.name());
        log.line("request", "refused")
                .with("id", flight.exchange().call().id())
                .with("as", refusal)
                .with("why", why)
                .with("attempts", flight.sent())
                .write();
    }

    /** A request for whose next attempt no server is there now. */
    void noPath(Flight flight) {
        log.line("route", "no path")
                .with("id", flight.exchange().call().id())
                .with("lastEvent", flight.exchange().lastEvent().orElse(-1L))
                .with("avoids", flight.avoid().size())
                .with("begun", flight.exchange().isCommitted())
                .write();
    }

    /** A failed attempt that no other follows, for another reason than a lack of repeats. */
    void notRepeated(Flight flight, String why) {
        log.line("route", "not repeated")
                .with("id", flight.exchange().call().id())
                .with("why", why)
                .with("attempts", flight.sent())
                .with("mayHaveRun", flight.mayHaveRun())
                .write();
    }

    /**
     * An answer that ends before it is whole.
     *
     * @param seen what showed that the client has gone; empty where it has not
     * @param left repeats left for the service
     */
    void brokenOff(Flight flight, String why, String seen, long left, long nowMillis) {
        Exchange exchange = flight.exchange();
        long quietSince = Math.max(exchange.lastEventMillis(), exchange.call().receivedMillis());
        log.line("request", "broken off")
                .with("id", exchange.call().id())
                .with("why", why)
                .with("seen", seen)
                .with("begun", exchange.isCommitted())
                .with("quietMillis", nowMillis - quietSince)
                .with("attempts", flight.sent())
                .with("mayHaveRun", flight.mayHaveRun())
                .with("awaitsRepeat", flight.owesRepeat())
                .with("awaitsPath", flight.isAwaitingPath())
                .with("repeatsLeft", left)
                .write();
    }

    void ended(Flight flight, String outcome, int status, long nowMillis) {
        Exchange exchange = flight.exchange();
        Exchange.Call call = exchange.call();
        log.ordinary("request", "ended")
                .with("id", call.id())
                .with("route", call.route().name())
                .with("outcome", outcome)
                .with("status", status)
                .with("attempts", flight.sent())
                .with("millis", nowMillis - call.receivedMillis())
                .with("promptTokens", call.head().promptTokens())
                .with("guessedTokens", call.head().guessedOutputTokens())
                .with("mostTokens", call.head().mostOutputTokens())
                .with("firstEventMillis", exchange.firstEventAfterMillis())
                .with("longestPauseMillis", exchange.longestPauseMillis())
                .write();
        meters.requestEnded(call.route().kind(), outcome, nowMillis - call.receivedMillis());
        if (exchange.firstEventAfterMillis() >= 0) {
            meters.firstEvent(exchange.firstEventAfterMillis());
            meters.longestPause(exchange.longestPauseMillis());
        }
    }
}
