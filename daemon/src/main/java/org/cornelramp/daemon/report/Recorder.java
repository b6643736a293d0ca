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

/** Hands what is recorded of requests to the memory, the burn counts and the meters. Safe for use by any thread. */
final class Recorder implements RequestRecorder {
    private final RequestMemory memory;
    private final BurnBook burn;
    private final Map<Outcome, Counter> outcomes = new EnumMap<>(Outcome.class);
    private final Counter late;
    private final Timer latency;

    Recorder(RequestMemory memory, BurnBook burn, MeterRegistry meters) {
        this.memory = memory;
        this.burn = burn;
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
        memory.decided(requestId, now, step, facts);
    }

    @Override
    public void ended(RowKey row, Outcome outcome, boolean inTime, Duration time, Instant now) {
        boolean answered = outcome == Outcome.ANSWERED;
        burn.ended(row, !answered || !inTime, now);
        outcomes.get(outcome).increment();
        if (answered) {
            latency.record(time);
        }
        if (answered && !inTime) {
            late.increment();
        }
    }
}
