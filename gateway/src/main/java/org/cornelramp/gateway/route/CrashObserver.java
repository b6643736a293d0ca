package org.cornelramp.gateway.route;

import io.vavr.control.Either;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.poison.CrashEvidence;
import org.cornelramp.core.poison.CrashEvidence.Crash;
import org.cornelramp.core.poison.PromptParts;
import org.cornelramp.gateway.log.EventLog;
import org.cornelramp.gateway.metrics.Meters;
import org.cornelramp.gateway.request.Attempt;
import org.cornelramp.gateway.request.AttemptEnd;
import org.cornelramp.platform.EngineReport;
import org.cornelramp.platform.PlatformFault;
import org.eclipse.jetty.http.HttpStatus;

/**
 * Observes which backend servers crash under which requests. Confined to the router's thread.
 *
 * <p>No process beside a server tells a gateway that it has crashed. A connection that breaks may have other causes: a
 * lost answer, a cut link, a server that leaves. So a break counts only if nothing listens at the server's address any
 * more, another server answers there, or the server's registration is gone although it was not leaving.
 */
final class CrashObserver {
    /**
     * Time from its first event on for which a run counts as starting. A request that crashes servers does so when it
     * begins to run; the connection may break some time after that.
     */
    private static final long STARTING_MILLIS = 500;

    /**
     * Time for which a server is looked for at its address after a connection to it has broken. Later, another one may
     * listen there.
     */
    private static final long CHECK_MILLIS = 1_000;

    /** Questions without an answer after which a server whose port accepts connections counts as crashed. */
    private static final int MAX_UNANSWERED = 3;

    /** Most requests, and most parts of prompts, that one log line names. */
    private static final int MAX_LOGGED_SUSPECTS = 8;

    private final FleetState fleet;
    private final AsyncEngineControl engineControl;
    private final LifeQuestions questions;
    private final EventLog log;
    private final Meters meters;
    private final Consumer<RouterEvent> router;
    private final CrashEvidence evidence = new CrashEvidence();
    private final Map<BackendServerId, Unchecked> unchecked = new HashMap<>();
    private BiConsumer<Crash, Long> onCrash = (crash, nowMillis) -> {};
    private BiConsumer<BackendServerId, Long> onSignOfLife = (server, nowMillis) -> {};
    private EndListener endListener = new EndListener() {};

    /** Hears which servers are thought to have ended under requests, and which of them live after all. */
    interface EndListener {
        /**
         * Called with a server that has ended under requests.
         *
         * @param certain whether its process is known to be gone
         */
        default void serverEnded(BackendServerId server, boolean certain, long now) {}

        /** Called with a server that was thought to have ended, and has given a sign of life. */
        default void serverLives(BackendServerId server, long now) {}
    }

    /**
     * A server whose connections have broken.
     *
     * @param untilMillis until when it is looked for at its address
     * @param unanswered questions for a sign of life that it has not answered since
     */
    private record Unchecked(BackendServer server, long untilMillis, int unanswered) {
        Unchecked withUnanswered() {
            return new Unchecked(server, untilMillis, unanswered + 1);
        }

        Unchecked withAnswer() {
            return new Unchecked(server, untilMillis, 0);
        }
    }

    /** What shows that a server has ended. Immutable, safe for use by any thread. */
    private enum Sign {
        /** Nothing listens at its address. */
        NOT_LISTENING(true),
        /** Another server answers at its address, or has registered there. */
        ANOTHER_SERVER(true),
        /** Its registration is gone, although it was not leaving; it may have lapsed in an outage of the store. */
        UNREGISTERED(false),
        /** Its port accepts connections, and it does not answer; its process may be gone while a relay holds the port. */
        UNANSWERED(false),
        /** Its end has been seen before; a further request has ended with it. */
        SEEN_BEFORE(true);

        private final boolean certain;

        Sign(boolean certain) {
            this.certain = certain;
        }
    }

    /** What shows that a server lives. Immutable, safe for use by any thread. */
    private enum LifeSign {
        /** It has answered a request, or sent the whole stream. */
        RESPONSE,
        /** It has sent its report. */
        REPORT,
        /** It has answered when it was asked for a sign of life. */
        ANSWER_TO_QUESTION
    }

    /** @param router receives the results of connection checks as events */
    CrashObserver(
            FleetState fleet,
            AsyncEngineControl engineControl,
            LifeQuestions questions,
            EventLog log,
            Meters meters,
            Consumer<RouterEvent> router) {
        this.fleet = fleet;
        this.engineControl = engineControl;
        this.questions = questions;
        this.log = log;
        this.meters = meters;
        this.router = router;
    }

    /** Sets the listener that is called with each crash, and again with each further request that it has ended. */
    void setOnCrash(BiConsumer<Crash, Long> listener) {
        onCrash = listener;
    }

    /** Sets the listener that is called with each server that gives a sign of life after it was thought to have crashed. */
    void setOnSignOfLife(BiConsumer<BackendServerId, Long> listener) {
        onSignOfLife = listener;
    }

    /** Sets the listener that is called with each end of a server under requests, once. */
    void setEndListener(EndListener listener) {
        endListener = listener;
    }

    /** Observes the end of an attempt. */
    void attemptEnded(Attempt attempt, AttemptEnd end, long now) {
        BackendServer server = attempt.server();
        if (end.kind().isUnframed()) {
            recordBreak(attempt, now); // a server that has crashed closes its connections as well
            return;
        }
        switch (attempt.connectionFault()) {
            case REFUSED -> recordEnd(server.id(), Sign.NOT_LISTENING, now);
            case BROKEN -> recordBreak(attempt, now);
            case NONE -> {
                boolean plain = attempt.path().isEmpty();
                if (plain && end.status() == HttpStatus.MISDIRECTED_REQUEST_421) {
                    recordEnd(server.id(), Sign.ANOTHER_SERVER, now);
                } else if (end.kind() == AttemptEnd.Kind.RELAYED || end.kind() == AttemptEnd.Kind.ANSWERED) {
                    recordSignOfLife(server.id(), LifeSign.RESPONSE, attempt.startMillis(), now);
                }
            }
        }
    }

    private void recordBreak(Attempt attempt, long now) {
        BackendServer server = attempt.server();
        if (fleet.isLeaving(server.id())) {
            return; // a planned shutdown
        }
        boolean starting = isStarting(attempt, now);
        String fingerprint = attempt.exchange().request().fingerprint();
        Set<String> parts = SoundParts.hasLived(attempt)
                ? Set.of()
                : attempt.exchange().request().sharedPromptParts();
        engineControl.checkConnection(server, router, fleet.lagMillis(), now);
        Unchecked before = unchecked.get(server.id());
        int unanswered = before == null ? 0 : before.unanswered();
        unchecked.put(server.id(), new Unchecked(server, now + CHECK_MILLIS, unanswered));
        evidence.recordBreak(server.id(), fingerprint, parts, starting, attempt.startMillis(), now)
                .ifPresent(crash -> handleCrash(crash, Sign.SEEN_BEFORE, now));
    }

    /** Whether a run has hardly made any progress. */
    static boolean isStarting(Attempt attempt, long now) {
        long firstEvent = attempt.firstEventMillis();
        return firstEvent == 0 || now - firstEvent < STARTING_MILLIS;
    }

    /** Observes an engine's report, or the failure to read it. */
    void reportRead(BackendServer engine, Either<PlatformFault, EngineReport> report, long now) {
        if (report.isRight()) {
            recordSignOfLife(engine.id(), LifeSign.REPORT, now, now);
        } else {
            recordFault(engine, report.getLeft(), now);
        }
    }

    /**
     * Observes the result of a connection check. An accepted connection is no sign of life, since a relay may hold the
     * port; so the server is asked for one. A result that comes late may be that of another server at the address.
     */
    void connectionChecked(BackendServer server, Optional<PlatformFault> fault, long now) {
        if (fault.isPresent()) {
            recordFault(server, fault.get(), now);
        } else if (unchecked.containsKey(server.id())) {
            questions.ask(server);
        }
    }

    /** Observes whether a server has given a sign of life when it was asked for one. */
    void lifeAsked(BackendServer server, Optional<PlatformFault> fault, long now) {
        if (fault.isEmpty()) {
            recordSignOfLife(server.id(), LifeSign.ANSWER_TO_QUESTION, now, now);
            return;
        }
        recordFault(server, fault.get(), now);
        if (fault.get().kind() == PlatformFault.Kind.WAITING) {
            return; // a full server, or whoever holds the port of one that has ended
        }
        Unchecked one = unchecked.computeIfPresent(server.id(), (id, before) -> before.withUnanswered());
        if (one != null && one.unanswered() >= MAX_UNANSWERED) {
            recordEnd(server.id(), Sign.UNANSWERED, now);
        }
    }

    private void recordFault(BackendServer server, PlatformFault fault, long now) {
        if (fault.kind() == PlatformFault.Kind.NOT_LISTENING) {
            recordEnd(server.id(), Sign.NOT_LISTENING, now);
        } else if (fault.kind() == PlatformFault.Kind.CONFLICT) {
            recordEnd(server.id(), Sign.ANOTHER_SERVER, now);
        }
    }

    /** Looks for the servers of broken connections, at their addresses and in the registrations. */
    void check(long now) {
        if (!hasUndecided()) {
            return;
        }
        evidence.expire(now);
        Set<BackendServerId> undecided = evidence.undecidedServers();
        unchecked
                .entrySet()
                .removeIf(one -> !undecided.contains(one.getKey())
                        || now >= one.getValue().untilMillis());
        unchecked.values().forEach(one -> engineControl.checkConnection(one.server(), router, fleet.lagMillis(), now));
        for (BackendServerId id : undecided) {
            if (fleet.registry().isReplaced(id)) {
                recordEnd(id, Sign.ANOTHER_SERVER, now);
            } else if (fleet.registry().server(id).isEmpty()) {
                recordEnd(id, Sign.UNREGISTERED, now);
            }
        }
    }

    private void recordEnd(BackendServerId server, Sign sign, long now) {
        if (!isPlannedEnd(server)) {
            evidence.recordEnd(server, sign.certain, now).ifPresent(crash -> handleCrash(crash, sign, now));
        }
    }

    /** Whether the server has said that it is shutting down; its connections then break without a crash. */
    private boolean isPlannedEnd(BackendServerId server) {
        return fleet.registry().leavingSinceMillis(server).isPresent();
    }

    private void recordSignOfLife(BackendServerId server, LifeSign sign, long askedMillis, long now) {
        unchecked.computeIfPresent(server, (id, one) -> one.withAnswer());
        CrashEvidence.TakenBack takenBack = evidence.recordSignOfLife(server, askedMillis, now);
        if (takenBack.breaks() > 0 || takenBack.crash()) {
            (takenBack.crash() ? log.line("fleet", "crash refuted") : log.routine("fleet", "no crash"))
                    .with("server", server)
                    .with("evidence", sign)
                    .with("breaks", takenBack.breaks())
                    .write();
        }
        if (takenBack.crash()) {
            onSignOfLife.accept(server, now);
            endListener.serverLives(server, now);
        }
    }

    private void handleCrash(Crash crash, Sign sign, long now) {
        boolean first = sign != Sign.SEEN_BEFORE;
        if (first) {
            meters.countCrash(sign.name());
            endListener.serverEnded(new BackendServerId(crash.report().crashId()), sign.certain, now);
        }
        Instant at = crash.report().at();
        Map<Boolean, List<String>> suspects =
                crash.report().suspects().stream().collect(Collectors.partitioningBy(PromptParts::isPart));
        (first ? log.line("fleet", "crashed") : log.routine("fleet", "crashed"))
                .with("server", crash.report().crashId())
                .with("evidence", sign)
                .with("ageMillis", now - at.toEpochMilli())
                .with("requests", crash.runs())
                .with("suspects", suspects.get(false).size())
                .with("fingerprints", firstOf(suspects.get(false)))
                .with("suspectParts", suspects.get(true).size())
                .with("parts", firstOf(suspects.get(true)))
                .write();
        onCrash.accept(crash, now);
    }

    private static List<String> firstOf(List<String> suspects) {
        return suspects.stream().limit(MAX_LOGGED_SUSPECTS).toList();
    }

    /** Whether there are broken connections to servers whose fate is not known yet. */
    boolean hasUndecided() {
        return evidence.hasUndecided();
    }

    /** Number of servers that may have crashed under a request within the given time, which is not known yet. */
    long undecidedCrashes(String fingerprint, long maxAgeMillis, long now) {
        return evidence.undecidedCrashes(fingerprint, maxAgeMillis, now);
    }
}
