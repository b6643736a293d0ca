package org.cornelramp.daemon.entry;

import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.time.Instant;
import org.cornelramp.core.model.Outcome;
import org.cornelramp.core.model.Problem;
import org.cornelramp.daemon.report.RequestRecorder;

/**
 * Records decisions on requests and their outcomes, and releases their admission when they end.
 *
 * <p>{@link #recordRefusal} is safe for use by any thread; everything else is confined to the router's thread.
 */
final class RequestTracker {
    private final RequestRecorder recorder;
    private final MeterRegistry meters;
    private final Admission admission;

    RequestTracker(RequestRecorder recorder, MeterRegistry meters, Admission admission) {
        this.recorder = recorder;
        this.meters = meters;
        this.admission = admission;
    }

    /** Records one decision. */
    void recordDecision(CallerRequest request, Instant now, String step, String facts) {
        recorder.decided(request.id(), now, step, facts);
    }

    /** Records a complete answer without generated tokens. */
    void recordAnswer(CallerRequest request, Instant now) {
        recordAnswer(request, 0, now);
    }

    /** Records a complete answer. */
    void recordAnswer(CallerRequest request, int tokens, Instant now) {
        admission.requestEnded(request, true, tokens, now);
        recorder.decided(request.id(), now, "answered", "millis=" + elapsedMillis(request, now));
        recordEnd(request, Outcome.ANSWERED, "none", !now.isAfter(request.deadline()), now);
    }

    /** Records a failure without generated tokens. */
    void recordFailure(CallerRequest request, Problem problem, Instant now) {
        recordFailure(request, problem, 0, now);
    }

    /** Records a failure. */
    void recordFailure(CallerRequest request, Problem problem, int tokens, Instant now) {
        admission.requestEnded(request, false, tokens, now);
        String kind = problem.kind().text();
        recorder.decided(
                request.id(),
                now,
                "failed",
                "kind=" + kind + " outcome=" + problem.outcome().text() + " millis=" + elapsedMillis(request, now));
        recordEnd(request, problem.outcome(), kind, false, now);
    }

    /** Records the duration of a recovery step, from the loss to its repair. */
    void recordRecoveryTime(String step, Duration time) {
        meters.timer("cornelramp.entry.recovery", "step", step).record(time);
    }

    /** Counts a request that was refused without being recorded, for example before its row was known. */
    void recordRefusal(Problem problem) {
        meters.counter("cornelramp.entry.refusals", "kind", problem.kind().text())
                .increment();
    }

    private void recordEnd(CallerRequest request, Outcome outcome, String kind, boolean inTime, Instant now) {
        Duration latency = Duration.between(request.arrived(), now);
        recorder.ended(request.row().key(), outcome, inTime, latency, now);
        meters.counter(
                        "cornelramp.entry.requests",
                        "service",
                        request.row().key().service().value(),
                        "outcome",
                        outcome.text(),
                        "kind",
                        kind)
                .increment();
    }

    private static long elapsedMillis(CallerRequest request, Instant now) {
        return Duration.between(request.arrived(), now).toMillis();
    }
}
