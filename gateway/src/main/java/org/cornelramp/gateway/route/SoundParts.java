package org.cornelramp.gateway.route;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.cornelramp.gateway.request.Attempt;
import org.cornelramp.gateway.request.AttemptEnd;

/**
 * Knows which parts of prompts crash no server, because runs that began to write on them have lived. Confined to the
 * router's thread.
 *
 * <p>Invariant: only an event shows that a run lives. It clears its parts of crashes until {@value #PROOF_MILLIS} ms after
 * its first event, however long it lives, as a part may become deadly while older runs with it go on.
 */
final class SoundParts {
    /** Time from its first event on in which a run that is doomed has ended. */
    private static final long STARTING_MILLIS = 500;

    /** Time from the first event of a run for which it shows what a run that begins would meet. */
    private static final long PROOF_MILLIS = 2_000;

    /** Most parts remembered of runs that have ended with their connections. */
    private static final int MAX_ENDED = 512;

    private final Collection<ActiveRequest> activeRequests;

    /** Until when parts caused no crash, by runs whose connections broke later. */
    private final Map<String, Long> ended = new LinkedHashMap<>();

    /** @param activeRequests the requests in progress, kept up to date by the caller */
    SoundParts(Collection<ActiveRequest> activeRequests) {
        this.activeRequests = activeRequests;
    }

    /** Whether a run has gone on with its answer for so long that it has not crashed its server by beginning it. */
    static boolean hasLived(Attempt attempt) {
        long first = attempt.firstEventMillis();
        return first > 0 && attempt.exchange().lastEventMillis() - first >= STARTING_MILLIS;
    }

    /** Observes the end of an attempt: the crash that ended it may have killed all runs that would clear its parts. */
    void attemptEnded(Attempt attempt) {
        if (attempt.connectionFault() == Attempt.ConnectionFault.BROKEN && hasLived(attempt)) {
            add(attempt.exchange().request().sharedPromptParts(), attempt.firstEventMillis() + PROOF_MILLIS, ended);
            while (ended.size() > MAX_ENDED) {
                ended.remove(ended.keySet().iterator().next());
            }
        }
    }

    /**
     * Times before which the parts of a run that has completed its answer caused no crash. A stream without an event may
     * have had nothing left to write.
     */
    static Map<String, Long> ofCompleted(Attempt attempt, AttemptEnd end, long now) {
        Map<String, Long> parts = new HashMap<>();
        long first = attempt.firstEventMillis();
        if (end.kind() == AttemptEnd.Kind.RELAYED && first > 0) {
            add(attempt.exchange().request().sharedPromptParts(), Math.min(now, first + PROOF_MILLIS), parts);
        }
        return parts;
    }

    /** Times before which parts caused no crash, by all runs that have lived. */
    Map<String, Long> all(long now) {
        Map<String, Long> parts = new HashMap<>();
        ended.forEach((part, until) -> parts.put(part, Math.min(now, until)));
        for (ActiveRequest request : activeRequests) {
            if (request.attempt() != null && hasLived(request.attempt())) {
                add(
                        request.sharedPromptParts(),
                        Math.min(now, request.attempt().firstEventMillis() + PROOF_MILLIS),
                        parts);
            }
        }
        return parts;
    }

    /** The same by the runs that have come to live so long since the last call. */
    Map<String, Long> recent(long now) {
        Map<String, Long> parts = new HashMap<>();
        for (ActiveRequest request : activeRequests) {
            if (request.attempt() != null && hasLived(request.attempt()) && request.markLived()) {
                add(
                        request.sharedPromptParts(),
                        Math.min(now, request.attempt().firstEventMillis() + PROOF_MILLIS),
                        parts);
            }
        }
        return parts;
    }

    private static void add(Set<String> names, long untilMillis, Map<String, Long> parts) {
        names.forEach(part -> parts.merge(part, untilMillis, Math::max));
    }
}
