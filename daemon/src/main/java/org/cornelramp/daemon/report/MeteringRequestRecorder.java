package org.cornelramp.daemon.report;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.time.Instant;
import java.util.EnumMap;
import java.util.Map;
import org.cornelramp.core.model.Outcome;
import org.cornelramp.core.table.RowKey;

/** Records requests in the decision log, the burn counters and the meters. Safe for use by any thread. */
final class MeteringRequestRecorder implements RequestRecorder {
    private final RequestDecisionLog decisions;
    private final BurnCounters burnCounters;
    private final Map<Outcome, Counter> outcomes = new EnumMap<>(Outcome.class);
    private final Counter late;
    private final Timer latency;

    MeteringRequestRecorder(RequestDecisionLog decisions, BurnCounters burnCounters, MeterRegistry meters) {
        this.decisions = decisions;
        this.burnCounters = burnCounters;
        for (Outcome outcome : Outcome.values()) {
            outcomes.put(outcome, meters.counter("cornelramp.requests", "outcome", outcome.text()));
        }
        this.late = meters.counter("cornelramp.requests.late");
        this.latency = Timer.builder("cornelramp.request.time")
                .publishPercentiles(0.5, 0.99)
                .register(meters);
    }

    @Override
    public void decided(String requestId, Instant now, String step, String facts) {
        decisions.decided(requestId, now, step, facts);
    }

    @Override
    public void ended(RowKey row, Outcome outcome, boolean inTime, Duration time, Instant now) {
        boolean answered = outcome == Outcome.ANSWERED;
        burnCounters.ended(row, !answered || !inTime, now);
        outcomes.get(outcome).increment();
        if (answered) {
            latency.record(time);
        }
        if (answered && !inTime) {
            late.increment();
        }
    }
}
