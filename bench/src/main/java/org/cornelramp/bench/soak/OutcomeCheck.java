package org.cornelramp.bench.soak;

import java.util.List;
import java.util.Map;
import org.cornelramp.bench.load.CallEnd;
import org.cornelramp.bench.load.Sample;

/** Checks what callers were told against what ran. Immutable, safe for use by any thread. */
public final class OutcomeCheck {
    /** Time after a crash in which what it left behind may still be found. */
    private static final long AFTERMATH_NANOS = 3_000_000_000L;

    private final Map<String, Integer> effects;
    private final List<FaultRunner.Struck> struck;
    private final long startNanos;

    /**
     * @param effects times that each body took effect, late ones waited for
     * @param struck the faults as they happened
     * @param startNanos start of the load, from which violations are dated as the schedule is
     */
    public OutcomeCheck(Map<String, Integer> effects, List<FaultRunner.Struck> struck, long startNanos) {
        this.effects = Map.copyOf(effects);
        this.struck = List.copyOf(struck);
        this.startNanos = startNanos;
    }

    /** Adds a violation for every request whose end breaks an invariant. */
    public void check(Ledger ledger, Violations violations) {
        ledger.bookings().forEach(b -> checkBooking(b, violations));
        ledger.all().forEach(s -> checkEnd(s, violations));
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
            violations.add("not-run", booking.body() + " took effect; its caller was told not-run: " + dated(s));
        }
        if (s.end().isAnswered() && count == 0) {
            violations.add("answered", booking.body() + " took no effect; its caller was given an answer");
        }
    }

    private void checkEnd(Sample s, Violations violations) {
        if (s.end() == CallEnd.WRONG) {
            violations.add("whole-answer", "a caller got another answer than its own: " + dated(s));
        }
        boolean lost = s.end() == CallEnd.UNKNOWN || s.end() == CallEnd.CUT;
        if (lost && !crashTouched(s)) {
            violations.add("unknown", "no process died or paused while this request was under way: " + dated(s));
        }
    }

    private String dated(Sample s) {
        return "from=" + millis(s.plannedNanos()) + "ms to=" + millis(s.endNanos()) + "ms " + s;
    }

    private long millis(long nanos) {
        return (nanos - startNanos) / 1_000_000;
    }

    private boolean crashTouched(Sample s) {
        return struck.stream()
                .filter(f -> f.fault().kind().isCrash())
                .anyMatch(f ->
                        f.beginNanos() - s.endNanos() <= 0 && f.endNanos() + AFTERMATH_NANOS - s.plannedNanos() >= 0);
    }
}
