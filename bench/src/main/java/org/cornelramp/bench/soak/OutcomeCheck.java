package org.cornelramp.bench.soak;

import java.util.List;
import java.util.Map;
import org.cornelramp.bench.load.CallEnd;
import org.cornelramp.bench.load.Sample;

/** Checks the outcomes that callers got against what the services executed. Immutable, safe for use by any thread. */
public final class OutcomeCheck {
    /** Time after a crash within which a request may still fail because of it. */
    private static final long CRASH_EFFECT_NANOS = 3_000_000_000L;

    private final Map<String, Integer> effects;
    private final List<FaultRunner.InjectedFault> injectedFaults;
    private final long startNanos;

    /**
     * @param effects number of times that each body took effect, including late effects
     * @param injectedFaults the faults as they were injected
     * @param startNanos start of the load; times in violations count from it, as those of the schedule do
     */
    public OutcomeCheck(Map<String, Integer> effects, List<FaultRunner.InjectedFault> injectedFaults, long startNanos) {
        this.effects = Map.copyOf(effects);
        this.injectedFaults = List.copyOf(injectedFaults);
        this.startNanos = startNanos;
    }

    /** Adds a violation for every request whose outcome breaks an invariant. */
    public void check(RequestOutcomes outcomes, Violations violations) {
        outcomes.bookings().forEach(b -> checkBooking(b, violations));
        outcomes.all().forEach(s -> checkOutcome(s, violations));
        effects.forEach((body, count) -> {
            if (count > 1) {
                violations.add("at-most-once", body + " took effect " + count + " times");
            }
        });
    }

    private void checkBooking(Booking booking, Violations violations) {
        int count = effects.getOrDefault(booking.body(), 0);
        Sample s = booking.sample();
        if (s.end() == CallEnd.NOT_RUN && count > 0) {
            violations.add("not-run", booking.body() + " took effect; its caller was told not-run: " + describe(s));
        }
        if (s.end().isAnswered() && count == 0) {
            violations.add("answered", booking.body() + " took no effect; its caller was given an answer");
        }
    }

    private void checkOutcome(Sample s, Violations violations) {
        if (s.end() == CallEnd.WRONG) {
            violations.add("whole-answer", "a caller got another answer than its own: " + describe(s));
        }
        boolean lost = s.end() == CallEnd.UNKNOWN || s.end() == CallEnd.CUT;
        if (lost && !overlapsCrash(s)) {
            violations.add("unknown", "no process died or paused while this request was under way: " + describe(s));
        }
    }

    private String describe(Sample s) {
        return "from=" + millis(s.plannedNanos()) + "ms to=" + millis(s.endNanos()) + "ms " + s;
    }

    private long millis(long nanos) {
        return (nanos - startNanos) / 1_000_000;
    }

    private boolean overlapsCrash(Sample s) {
        return injectedFaults.stream()
                .filter(f -> f.fault().kind().isCrash())
                .anyMatch(f -> f.beginNanos() - s.endNanos() <= 0
                        && f.endNanos() + CRASH_EFFECT_NANOS - s.plannedNanos() >= 0);
    }
}
