package org.cornelramp.core.admission;

/**
 * Decides whether a request fits now, with hysteresis by priority: a priority that was held back is admitted again
 * when the prediction is below 0.9 of the limit. Owned by one thread.
 *
 * <p>Invariant: if a priority is held back, all less urgent ones are too. Otherwise a less urgent request could take
 * capacity between 0.9 and 1.0 of the limit while a more urgent one waits for 0.9.
 */
public final class AdmissionPolicy {
    private static final double LIMIT = 1;
    private static final double READMISSION = 0.9;

    private int firstHeldBack = Integer.MAX_VALUE;

    /** Returns a copy that changes independently. */
    public AdmissionPolicy copy() {
        AdmissionPolicy copy = new AdmissionPolicy();
        copy.firstHeldBack = firstHeldBack;
        return copy;
    }

    /** Decides for one request, and holds its priority back or readmits it. */
    public Fit judge(Prospect prospect) {
        if (prospect.firstEventMillis() > prospect.patienceLeftMillis()) {
            return Fit.OUT_OF_TIME;
        }
        if (prospect.standing().isFirst()) {
            return prospect.pauseWithin(LIMIT) ? fit(prospect) : Fit.NO_CAPACITY;
        }
        if (prospect.late()) {
            boolean fits = !prospect.onTimeWaiting()
                    && prospect.newRequestOnTime()
                    && prospect.pauseWithin(margin(prospect.priority()));
            return fits ? Fit.LATE : Fit.NO_CAPACITY;
        }
        boolean fits = prospect.pauseWithin(margin(prospect.priority()));
        firstHeldBack =
                fits ? Math.max(firstHeldBack, prospect.priority() + 1) : Math.min(firstHeldBack, prospect.priority());
        return fits ? Fit.ON_TIME : Fit.NO_CAPACITY;
    }

    /** Whether a priority is held back until the prediction is below 0.9 of the limit. */
    public boolean isHeldBack(int priority) {
        return priority >= firstHeldBack;
    }

    private double margin(int priority) {
        return isHeldBack(priority) ? READMISSION : LIMIT;
    }

    private static Fit fit(Prospect prospect) {
        return prospect.late() ? Fit.LATE : Fit.ON_TIME;
    }
}
