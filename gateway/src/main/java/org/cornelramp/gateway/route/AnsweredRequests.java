package org.cornelramp.gateway.route;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.gateway.request.Attempt;
import org.cornelramp.gateway.request.AttemptEnd;
import org.cornelramp.gateway.request.Exchange;
import org.eclipse.jetty.http.HttpStatus;

/**
 * Knows which requests crash no server, because servers have answered them lately. Confined to the router's thread.
 *
 * <p>Invariants: a success shows that its request is harmless. A rejection may come before the request is run, so only
 * {@value #MIN_REJECTIONS} of them by {@value #MIN_SERVERS} servers or more do, without a crash in between; a failure of
 * the server never does. An answer clears of crashes until {@value #PROOF_MILLIS} ms after it. Requests are identified only
 * when there is a crash to compare them with; at most {@value #MAX_ANSWERS} answers of each kind are held, to requests
 * whose bodies have at most {@value #MAX_BODY_BYTES} bytes.
 */
final class AnsweredRequests {
    /** Time after its last answer for which a request that many callers send is known to be harmless. */
    private static final long PROOF_MILLIS = 2_000;

    /** Time for which a rejection counts. */
    private static final long REJECTION_MILLIS = 10_000;

    private static final int MIN_REJECTIONS = 4;
    private static final int MIN_SERVERS = 2;
    private static final int MAX_ANSWERS = 256;
    private static final int MAX_BODY_BYTES = 8_192;

    private final Deque<Answer> successes = new ArrayDeque<>();
    private final Deque<Answer> rejections = new ArrayDeque<>();

    /** An answer to a request, which is identified when it is first asked for. */
    private static final class Answer {
        private final Exchange.ClientRequest request;
        private final BackendServerId server;
        private final long millis;
        private String fingerprint;

        Answer(Exchange.ClientRequest request, BackendServerId server, long millis) {
            this.request = request;
            this.server = server;
            this.millis = millis;
        }

        String fingerprint() {
            if (fingerprint == null) {
                fingerprint = request.fingerprint();
            }
            return fingerprint;
        }
    }

    /** The rejections of one request in a row. */
    private static final class Rejections {
        private final Set<BackendServerId> servers = new HashSet<>();
        private int count;
        private long lastMillis;

        void add(Answer answer) {
            servers.add(answer.server);
            count++;
            lastMillis = answer.millis;
        }

        boolean isProof() {
            return count >= MIN_REJECTIONS && servers.size() >= MIN_SERVERS;
        }
    }

    /** Records the end of an attempt, if a server has answered it with success or rejected it. */
    void recordEnd(Attempt attempt, AttemptEnd end, long now) {
        if (hasSucceeded(attempt, end)) {
            add(successes, attempt, now);
        } else if (isRejected(end)) {
            add(rejections, attempt, now);
        }
        removeOld(successes, now - PROOF_MILLIS);
        removeOld(rejections, now - REJECTION_MILLIS);
    }

    /** Whether a server has run a request and lived. A stream without an event may have had nothing left to run. */
    static boolean hasSucceeded(Attempt attempt, AttemptEnd end) {
        boolean ran = end.kind() == AttemptEnd.Kind.ANSWERED || attempt.firstEventMillis() > 0;
        return ran && end.isSuccess();
    }

    /** Whether a server has found fault with a request. */
    static boolean isRejected(AttemptEnd end) {
        return end.kind() == AttemptEnd.Kind.ANSWERED
                && HttpStatus.isClientError(end.status())
                && end.status() != HttpStatus.REQUEST_TIMEOUT_408
                && end.status() != HttpStatus.TOO_MANY_REQUESTS_429;
    }

    private static void add(Deque<Answer> answers, Attempt attempt, long now) {
        Exchange.ClientRequest request = attempt.exchange().request();
        if (request.body().length > MAX_BODY_BYTES) {
            return;
        }
        answers.addLast(new Answer(request, attempt.server().id(), now));
        if (answers.size() > MAX_ANSWERS) {
            answers.removeFirst();
        }
    }

    private static void removeOld(Deque<Answer> answers, long beforeMillis) {
        while (!answers.isEmpty() && answers.peekFirst().millis < beforeMillis) {
            answers.removeFirst();
        }
    }

    /** Times before which requests caused no crash, by their fingerprints. */
    Map<String, Long> harmlessUntil(long now) {
        Map<String, Long> until = new HashMap<>();
        successes.forEach(answer -> put(answer.fingerprint(), answer.millis, now, until));
        Map<String, Rejections> inRow = new HashMap<>();
        rejections.forEach(answer -> inRow.computeIfAbsent(answer.fingerprint(), any -> new Rejections())
                .add(answer));
        inRow.forEach((fingerprint, row) -> {
            if (row.isProof()) {
                put(fingerprint, row.lastMillis, now, until);
            }
        });
        return until;
    }

    private static void put(String fingerprint, long millis, long now, Map<String, Long> until) {
        until.merge(fingerprint, Math.min(now, millis + PROOF_MILLIS), Math::max);
    }

    /** Forgets the rejections of requests at a crash of which nothing has cleared them. */
    void removeRejections(Set<String> fingerprints) {
        rejections.removeIf(answer -> fingerprints.contains(answer.fingerprint()));
    }
}
