package org.cornelramp.daemon.entry;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import org.cornelramp.core.model.Problem;
import org.cornelramp.core.model.ProblemKind;
import org.cornelramp.core.poison.CrashReport;
import org.cornelramp.core.poison.PoisonDetector;
import org.cornelramp.ports.LogClient;
import org.cornelramp.ports.LogRecord;
import org.cornelramp.ports.LogStream;
import org.cornelramp.wire.message.Heartbeat;

/**
 * Sets requests aside that crash the backend servers which run them, by what heartbeats and the log tell.
 *
 * <p>Confined to the router's thread. Invariant: a crash is counted once, however many entries report it and by
 * whichever way its report comes.
 */
final class Poison implements LogFollower.Fold {
    private static final System.Logger LOG = System.getLogger(Poison.class.getName());
    private static final String REPORT = "report";
    private static final Duration SUSPECT_TIME = Duration.ofSeconds(30);
    private static final long LONGEST_DELAY_MILLIS = 1_000;

    private final PoisonDetector state = PoisonDetector.standard();
    private final LogClient log;
    private final Router router;
    private final LogFollower follower;
    private final RandomGenerator random;
    private final Map<String, Untold> untold = new HashMap<>();
    private long next;

    private record Untold(CrashReport report, Instant at) {}

    Poison(LogClient log, Router router, RandomGenerator random) {
        this.log = log;
        this.router = router;
        this.random = random;
        this.follower = new LogFollower(log, LogStream.SET_ASIDE, this, router);
    }

    /** Why a request may not run; empty if it may. */
    Optional<Problem> refusal(String fingerprint, Instant now) {
        if (!state.isPoison(fingerprint, now)) {
            return Optional.empty();
        }
        return Optional.of(
                Problem.notRun(ProblemKind.SET_ASIDE, "Backend servers crashed while they ran this request."));
    }

    /** Takes what an agent's heartbeat tells. */
    void heard(Heartbeat beat, Instant now) {
        if (!beat.setAside().isEmpty()) {
            state.addMarks(beat.setAside(), now);
        }
        for (String text : beat.crashed()) {
            parse(text).ifPresent(report -> crashed(report, now));
        }
    }

    /** A request ran to its end, so it did not cause the crashes noticed until now. */
    void completed(String fingerprint, Instant now) {
        state.recordCompletion(fingerprint, now);
    }

    /** Requests set aside, in the form that heartbeats carry. */
    List<String> marks(Instant now) {
        return state.marks(now);
    }

    /** Fingerprints of requests that were in progress at late crashes, which agents run alone. */
    List<String> suspects(Instant now) {
        Set<String> suspects = new TreeSet<>();
        for (String text : state.reportsSince(now.minus(SUSPECT_TIME))) {
            parse(text).ifPresent(report -> suspects.addAll(report.suspects()));
        }
        return suspects.stream().limit(PoisonDetector.MAX_MARKS).toList();
    }

    void tick(Instant now) {
        follower.tick(now);
        List<Untold> due = new ArrayList<>();
        untold.values().stream().filter(one -> !now.isBefore(one.at())).forEach(due::add);
        due.forEach(one -> tell(one.report()));
    }

    @Override
    public long next() {
        return next;
    }

    @Override
    public void skipTo(long offset) {
        next = Math.max(next, offset);
    }

    @Override
    public void apply(LogRecord record, Instant now) {
        next = record.offset() + 1;
        parse(record.value().path(REPORT).asText()).ifPresent(report -> {
            untold.remove(report.crashId());
            state.recordCrash(report, now);
        });
    }

    /** All entries hear of a crash at once; each waits for a random time, and most find it told by then. */
    private void crashed(CrashReport report, Instant now) {
        if (state.recordCrash(report, now)) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "entry: a backend server crashed; crash=" + report.crashId() + " requests="
                            + report.suspects().size());
            untold.put(report.crashId(), new Untold(report, now.plusMillis(random.nextLong(LONGEST_DELAY_MILLIS))));
        }
    }

    private void tell(CrashReport report) {
        untold.remove(report.crashId());
        ObjectNode record = JsonNodeFactory.instance.objectNode();
        record.put("type", "crash").put(REPORT, report.toString());
        router.whenDone(log.append(LogStream.SET_ASIDE, List.of(record)), (offset, failure, now) -> {
            if (failure != null) {
                // Heartbeats tell it round meanwhile; a record told twice counts once.
                untold.put(report.crashId(), new Untold(report, now.plusMillis(LONGEST_DELAY_MILLIS)));
            }
        });
    }

    private static Optional<CrashReport> parse(String text) {
        try {
            return Optional.of(CrashReport.parse(text));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
