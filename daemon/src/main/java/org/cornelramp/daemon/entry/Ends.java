package org.cornelramp.daemon.entry;

import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.time.Instant;
import org.cornelramp.core.model.Outcome;
import org.cornelramp.core.model.Problem;
import org.cornelramp.daemon.report.RequestRecorder;

/**
 * Records decisions on requests and their ends, and hands back what they held.
 *
 * <p>{@link #refused} is safe for use by any thread; the rest is confined to the router's.
 */
final class Ends {
    private final RequestRecorder recorder;
    private final MeterRegistry meters;
    private final Admission admission;

    Ends(RequestRecorder recorder, MeterRegistry meters, Admission admission) {
        this.recorder = recorder;
        this.meters = meters;
        this.admission = admission;
    }

    /** Records one decision. */
    void decided(CallerRequest request, Instant now, String step, String facts) {
        recorder.decided(request.id(), now, step, facts);
    }

    /** Records a whole answer that took no tokens. */
    void answered(CallerRequest request, Instant now) {
        answered(request, 0, now);
    }

    /** Records a whole answer. */
    void answered(CallerRequest request, int tokens, Instant now) {
        admission.ended(request, true, tokens, now);
        recorder.decided(request.id(), now, "answered", "millis=" + millis(request, now));
        end(request, Outcome.ANSWERED, "none", !now.isAfter(request.deadline()), now);
    }

    /** Records a problem after which no tokens were generated. */
    void failed(CallerRequest request, Problem problem, Instant now) {
        failed(request, problem, 0, now);
    }

    /** Records a problem. */
    void failed(CallerRequest request, Problem problem, int tokens, Instant now) {
        admission.ended(request, false, tokens, now);
        String kind = problem.kind().text();
        recorder.decided(
                request.id(),
                now,
                "failed",
                "kind=" + kind + " outcome=" + problem.outcome().text() + " millis=" + millis(request, now));
        end(request, problem.outcome(), kind, false, now);
    }

    /** Notes how long one step of a recovery took, from the loss to its repair. */
    void timed(String step, Duration time) {
        meters.timer("cornelramp.entry.recovery", "step", step).record(time);
    }

    /** Counts a request that was refused before its row was known. */
    void refused(Problem problem) {
        meters.counter("cornelramp.entry.refusals", "kind", problem.kind().text())
                .increment();
    }

    private void end(CallerRequest request, Outcome outcome, String kind, boolean inTime, Instant now) {
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

    private static long millis(CallerRequest request, Instant now) {
        return Duration.between(request.arrived(), now).toMillis();
    }
}
