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
import org.cornelramp.core.poison.BlameThresholds;
import org.cornelramp.core.poison.CrashReport;
import org.cornelramp.core.poison.PoisonDetector;
import org.cornelramp.ports.LogClient;
import org.cornelramp.ports.LogRecord;
import org.cornelramp.ports.LogStream;
import org.cornelramp.wire.message.Heartbeat;

/**
 * Tracks requests that crash the backend servers which run them, and refuses them. Crash reports come in heartbeats and
 * on the log.
 *
 * <p>Confined to the router's thread. Invariant: a crash is counted once, however many entries report it and whether
 * the report comes by heartbeat or log.
 */
final class PoisonTracker implements LogFollower.RecordHandler {
    private static final System.Logger LOG = System.getLogger(PoisonTracker.class.getName());
    private static final String REPORT = "report";
    private static final Duration SUSPECT_AGE = Duration.ofSeconds(30);
    private static final long MAX_APPEND_DELAY_MILLIS = 1_000;

    private final PoisonDetector detector = PoisonDetector.standard(BlameThresholds.OBSERVED);
    private final LogClient log;
    private final Router router;
    private final LogFollower follower;
    private final RandomGenerator random;
    private final Map<String, PendingReport> pendingReports = new HashMap<>();
    private long nextOffset;

    private record PendingReport(CrashReport report, Instant appendAt) {}

    PoisonTracker(LogClient log, Router router, RandomGenerator random) {
        this.log = log;
        this.router = router;
        this.random = random;
        this.follower = new LogFollower(log, LogStream.SET_ASIDE, this, router);
    }

    /** Returns why a request may not run; empty if it may. */
    Optional<Problem> refusal(String fingerprint, Instant now) {
        if (!detector.isPoison(fingerprint, now)) {
            return Optional.empty();
        }
        return Optional.of(
                Problem.notRun(ProblemKind.SET_ASIDE, "Backend servers crashed while they ran this request."));
    }

    /** Records the crash reports and the requests set aside in an agent's heartbeat. */
    void heartbeatReceived(Heartbeat heartbeat, Instant now) {
        if (!heartbeat.setAside().isEmpty()) {
            detector.addMarks(heartbeat.setAside(), now);
        }
        for (String text : heartbeat.crashed()) {
            parse(text).ifPresent(report -> recordCrash(report, now));
        }
    }

    /** Records that a request completed, so it did not cause the crashes recorded until now. */
    void recordCompletion(String fingerprint, Instant now) {
        detector.recordCompletion(fingerprint, now);
    }

    /** Returns the requests set aside, in the form that heartbeats carry. */
    List<String> marks(Instant now) {
        return detector.marks(now);
    }

    /** Returns the fingerprints of requests that were in progress at recent crashes. Agents run these one at a time. */
    List<String> suspects(Instant now) {
        Set<String> suspects = new TreeSet<>();
        for (String text : detector.reportsSince(now.minus(SUSPECT_AGE))) {
            parse(text).ifPresent(report -> suspects.addAll(report.suspects()));
        }
        return suspects.stream().limit(PoisonDetector.MAX_MARKS).toList();
    }

    void tick(Instant now) {
        follower.tick(now);
        List<PendingReport> due = new ArrayList<>();
        pendingReports.values().stream()
                .filter(pending -> !now.isBefore(pending.appendAt()))
                .forEach(due::add);
        due.forEach(pending -> appendReport(pending.report()));
    }

    @Override
    public long nextOffset() {
        return nextOffset;
    }

    @Override
    public void skipTo(long offset) {
        nextOffset = Math.max(nextOffset, offset);
    }

    @Override
    public void apply(LogRecord record, Instant now) {
        nextOffset = record.offset() + 1;
        parse(record.value().path(REPORT).asText()).ifPresent(report -> {
            pendingReports.remove(report.crashId());
            detector.recordCrash(report, now);
        });
    }

    /**
     * Records a crash and schedules its report for the log. All entries learn of a crash at the same time; each waits
     * for a random delay, so that most of them find the report already on the log.
     */
    private void recordCrash(CrashReport report, Instant now) {
        if (detector.recordCrash(report, now)) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "entry: a backend server crashed; crash=" + report.crashId() + " requests="
                            + report.suspects().size());
            pendingReports.put(
                    report.crashId(),
                    new PendingReport(report, now.plusMillis(random.nextLong(MAX_APPEND_DELAY_MILLIS))));
        }
    }

    private void appendReport(CrashReport report) {
        pendingReports.remove(report.crashId());
        ObjectNode record = JsonNodeFactory.instance.objectNode();
        record.put("type", "crash").put(REPORT, report.toString());
        router.whenDone(log.append(LogStream.SET_ASIDE, List.of(record)), (offset, failure, now) -> {
            if (failure != null) {
                // Until then heartbeats spread the report. A report that is on the log twice counts once.
                pendingReports.put(
                        report.crashId(), new PendingReport(report, now.plusMillis(MAX_APPEND_DELAY_MILLIS)));
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
