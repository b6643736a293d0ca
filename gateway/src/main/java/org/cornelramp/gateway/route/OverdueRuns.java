package org.cornelramp.gateway.route;

import java.util.Optional;
import org.cornelramp.core.path.LostAnswerDetector;
import org.cornelramp.core.routing.RouteKind;
import org.cornelramp.gateway.request.Attempt;

/**
 * Finds the runs that are given up although nothing has failed: late answers, and streams whose answer is lost.
 *
 * <p>Invariant: a run is given up only where it can be made again. A server that is only late still answers; cancelled
 * without a repeat or another server, its client is told that the outcome is unknown instead of the late answer. Owned by
 * the router's duty.
 */
final class OverdueRuns {
    /** An answer of a plain service that has not come by this share of its target is tried elsewhere. */
    private static final double PATIENCE = 1.2;

    private final Repeats repeats;
    private final Dispatcher dispatcher;
    private final LostAnswerDetector firstEvents = new LostAnswerDetector();

    OverdueRuns(Repeats repeats, Dispatcher dispatcher) {
        this.repeats = repeats;
        this.dispatcher = dispatcher;
    }

    /** Whether events of the attempt have come. */
    static boolean hasBegun(Flight flight, Attempt attempt) {
        return flight.exchange().lastEventMillis() > attempt.startMillis();
    }

    /** Notes that events of the attempt have come; may be called again for the same one. */
    void begun(Flight flight, Attempt attempt, long now) {
        if (flight.markBegun()) {
            attempt.path().ifPresent(path -> firstEvents.recordBegun(path.first().id(), attempt.startMillis(), now));
        }
    }

    /** Why an attempt without an event is to be given up now; empty if it goes on. */
    Optional<String> reason(Flight flight, Attempt attempt, long now) {
        return overdue(flight, attempt, now)
                .filter(why -> canRepeat(flight, attempt, now))
                .filter(why -> !attempt.hasUnread()); // its answer is there, and this process is late
    }

    private Optional<String> overdue(Flight flight, Attempt attempt, long now) {
        if (isAnswerLost(flight, attempt, now)) {
            return Optional.of("its answer is lost: streams sent to its engine later have begun");
        }
        return isLate(flight, attempt, now) ? Optional.of("it takes too long") : Optional.empty();
    }

    /**
     * Whether a stream that runs can be started anew at once. The part of the repeats that is kept for begun streams whose
     * engines die is not used for others.
     */
    boolean canRestart(Flight flight, long now) {
        return flight.route().mayRepeat()
                && repeats.hasRepeat(flight.service(), false, now)
                && dispatcher.hasPath(flight, now);
    }

    private boolean isAnswerLost(Flight flight, Attempt attempt, long now) {
        return flight.route().mayRepeat()
                && attempt.path()
                        .filter(path -> firstEvents.isAnswerLost(path.first().id(), attempt.startMillis(), now))
                        .isPresent();
    }

    /** A repeat pays only while time is left for it, so only the first run of a safe request is late. */
    private static boolean isLate(Flight flight, Attempt attempt, long now) {
        double patience = PATIENCE * flight.route().targetMillis();
        boolean first = flight.route().kind() == RouteKind.SAFE && flight.sent() == 1;
        return first && !attempt.isAnswering() && now - attempt.startMillis() > patience;
    }

    private boolean canRepeat(Flight flight, Attempt attempt, long now) {
        boolean begun = flight.exchange().isCommitted();
        boolean elsewhere = attempt.path().isPresent() || dispatcher.hasAnother(flight, attempt.server(), now);
        return elsewhere && repeats.hasRepeat(flight.service(), begun, now);
    }
}
