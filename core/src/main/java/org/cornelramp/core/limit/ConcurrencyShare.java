package org.cornelramp.core.limit;

import java.time.Instant;

/**
 * This entry's part of a limit on requests in progress, which need not be a whole number.
 *
 * <p>The whole part is a plain bound. The fraction gives one more slot for that fraction of the time: with a limit
 * of 1 over two entries, rounding down would let nobody in and rounding up twice as many; here each entry has the
 * slot half of the time, so the mean holds and the momentary excess is below one for each entry. Owned by one
 * thread.
 */
final class ConcurrencyShare {
    private static final double MOST_CREDIT = 1;

    private int inProgress;
    private double credit = MOST_CREDIT;
    private Instant at;

    ConcurrencyShare(Instant now) {
        this.at = now;
    }

    /** Whether one more request may start; {@code part} is this entry's part of the limit. */
    boolean mayStart(double part, Instant now) {
        settle(part, now);
        int whole = (int) part;
        return inProgress < whole || (inProgress == whole && credit > 0);
    }

    void started() {
        inProgress++;
    }

    void ended(double part, Instant now) {
        settle(part, now);
        inProgress--;
    }

    int inProgress() {
        return inProgress;
    }

    /** Seconds until the credit for one more slot is positive again; 0 if it is. */
    double secondsUntilCredit(double part) {
        double fraction = part - (int) part;
        return credit > 0 || fraction <= 0 ? 0 : -credit / fraction;
    }

    private void settle(double part, Instant now) {
        double passed = Seconds.between(at, now);
        int whole = (int) part;
        double used = inProgress > whole ? inProgress - whole : 0;
        credit = Math.min(MOST_CREDIT, credit + (part - whole - used) * passed);
        at = now.isAfter(at) ? now : at;
    }
}
