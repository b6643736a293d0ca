package org.cornelramp.gateway.route;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.core.retry.RetryQueue;
import org.cornelramp.gateway.request.Attempt;
import org.cornelramp.gateway.request.AttemptEnd;

/**
 * Sends requests again whose attempt has failed, within the repeats that all gateways share. One for which no repeat or no
 * server is there waits: a begun stream until its client leaves, since nobody else can carry it on; what has not begun for
 * a moment, in which peers lend repeats and full engines have room again. Owned by the router's duty.
 *
 * <p>Invariant: a repeat is taken only when there is a server to send it to.
 */
final class Resender {
    /**
     * Most attempts at one request: more would not find a server either. Those that did not run count until the answer has
     * begun; then only runs without an event do, as engines that are just being filled refuse a stream several times in a
     * moment, and a stream that gets on is worth another run.
     */
    private static final int MOST_SENT = 6;

    /** Engines gone after which a request is taken to crash those that run it, so that all its runs count. */
    private static final int CRASHES = 3;

    /**
     * Longest time that a request waits which has not begun, in milliseconds. Peers lend within two rounds of news, and an
     * engine that was full is tried again after a quarter of a second. A client that is refused by then still has the time
     * to come again itself.
     */
    private static final long FRESH_WAIT_MILLIS = 400;

    /**
     * Pause between two searches for a server for one request that waits. A search takes some tenths of a millisecond; at
     * each turn, those of dozens that wait would make a small gateway late.
     */
    private static final long LOOK_PAUSE_MILLIS = 60;

    /** Time for which servers that have failed a request are avoided while nobody else is there. */
    private static final long AVOID_MILLIS = 250;

    private final Repeats repeats;
    private final Dispatcher dispatcher;
    private final Beliefs beliefs;
    private final FlightLog flightLog;
    private final RetryQueue<Flight> waiting = new RetryQueue<>();

    Resender(Repeats repeats, Dispatcher dispatcher, Beliefs beliefs, FlightLog flightLog) {
        this.repeats = repeats;
        this.dispatcher = dispatcher;
        this.beliefs = beliefs;
        this.flightLog = flightLog;
    }

    /** Sends a request again that may be repeated, or lets it wait; false if it is to be ended. */
    boolean tryAgain(Flight flight, Attempt failed, AttemptEnd end, long now) {
        return mayGoOn(flight, failed, end, now) && (trySend(flight, now) || await(flight, now));
    }

    /**
     * Sends a request again that may be repeated, if a repeat and a server are there; false if not. One that has an answer,
     * though a failed one, does not wait: the answer is passed on instead.
     */
    boolean tryNow(Flight flight, Attempt failed, AttemptEnd end, long now) {
        return mayGoOn(flight, failed, end, now) && trySend(flight, now);
    }

    /** Whether another attempt may be made; notes what it is to avoid and whether it takes a repeat. */
    private boolean mayGoOn(Flight flight, Attempt failed, AttemptEnd end, long now) {
        if (!hasTime(flight, failed, now)) {
            flightLog.notRepeated(flight, "all attempts are made, or its time is over");
            return false;
        }
        avoid(flight, failed, end);
        flight.setOwesRepeat(end.kind().mayHaveArrived());
        return true;
    }

    /** Lets a begun stream wait that finds no path. */
    void awaitPath(Flight flight, long now) {
        waiting.add(flight, how(flight, now));
        noPath(flight, now);
    }

    /** Sends requests that wait, the most urgent first, and asks the peers for the repeats that are still lacking. */
    void resume(long now) {
        Map<ServiceName, Integer> lacking = new HashMap<>();
        for (Flight flight : waiting.inOrder()) {
            if (trySend(flight, now)) {
                waiting.remove(flight);
            } else if (flight.owesRepeat()) {
                lacking.merge(flight.service(), 1, Integer::sum);
            }
        }
        repeats.ask(lacking, now);
    }

    /** Takes out the requests that have waited long enough and have not begun. */
    List<Flight> takeOverdue(long now) {
        return waiting.removeOverdue(now);
    }

    /** Whether a request waits. */
    boolean isWaiting(Flight flight) {
        return waiting.contains(flight);
    }

    /** Forgets a request that has ended. */
    void forget(Flight flight) {
        waiting.remove(flight);
    }

    private boolean hasTime(Flight flight, Attempt failed, long now) {
        boolean engines = failed.path().isPresent();
        boolean left = engines || flight.mayHaveRun() < flight.route().maxAttempts();
        boolean inTime = now < flight.exchange().call().deadlineMillis();
        return left && inTime && flight.attemptsThatCount(seemsToCrash(flight, now)) < MOST_SENT;
    }

    /** Whether so many engines that ran a request are gone that it may be the cause. */
    private boolean seemsToCrash(Flight flight, long now) {
        long gone = flight.firsts().stream()
                .filter(id ->
                        beliefs.isLost(id, now) || beliefs.registry().server(id).isEmpty())
                .count();
        return gone >= CRASHES;
    }

    private void avoid(Flight flight, Attempt failed, AttemptEnd end) {
        boolean engines = failed.path().isPresent();
        if (!engines || (end.kind().surelyNotRun() && end.faultAt().isEmpty())) {
            flight.avoid().add(failed.server().id());
        }
        end.faultAt().flatMap(address -> beliefs.at(address, flight.service())).ifPresent(server -> flight.avoid()
                .add(server.id()));
    }

    private boolean trySend(Flight flight, long now) {
        boolean begun = flight.exchange().isCommitted();
        if (flight.owesRepeat() && !repeats.hasRepeat(flight.service(), begun, now)) {
            tellNoRepeat(flight, now);
            return false;
        }
        if (!flight.mayLook(now, LOOK_PAUSE_MILLIS)) {
            return false;
        }
        Optional<Dispatcher.Choice> choice = dispatcher.choose(flight, now);
        if (choice.isEmpty()) {
            noPath(flight, now);
            return false;
        }
        if (flight.owesRepeat()) {
            repeats.tryRepeat(flight.service(), begun, now);
            flight.setOwesRepeat(false);
        }
        dispatcher.send(flight, choice.get(), now);
        return true;
    }

    private void tellNoRepeat(Flight flight, long now) {
        if (!waiting.contains(flight)) {
            flightLog.noRepeat(flight, repeats.left(flight.service(), now), repeats.peers(), mayHelp(flight, now));
        }
    }

    private boolean await(Flight flight, long now) {
        return mayHelp(flight, now) && waiting.add(flight, how(flight, now));
    }

    /** Whether waiting may help: what can only be refused later is refused at once. */
    private boolean mayHelp(Flight flight, long now) {
        boolean lends = repeats.peers() > 0;
        boolean comesBack = beliefs.hasSuspect(flight.service(), now);
        return flight.exchange().isCommitted() || lends || comesBack;
    }

    private static RetryQueue.WaitState how(Flight flight, long now) {
        return new RetryQueue.WaitState(
                flight.exchange().isCommitted(), flight.exchange().call().deadlineMillis(), now + FRESH_WAIT_MILLIS);
    }

    /** Takes that no server is there. Those that have failed the request may be the only ones, and have room again. */
    private void noPath(Flight flight, long now) {
        if (flight.awaitPath(now)) {
            flightLog.noPath(flight); // once for each wait, though a path is looked for at each tick
        }
        if (flight.awaitedPathMillis(now) >= AVOID_MILLIS) {
            flight.avoid().clear();
        }
    }
}
