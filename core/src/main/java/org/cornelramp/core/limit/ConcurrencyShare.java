package org.cornelramp.core.limit;

import java.time.Instant;

/**
 * This entry's part of a limit on concurrent requests, which need not be a whole number.
 *
 * <p>The integer part is a plain bound. The fraction grants one more slot for that fraction of the time. With a limit
 * of 1 over two entries, rounding down would admit no request and rounding up twice the limit; here each entry has the
 * slot half of the time, so the mean meets the limit and the momentary excess is below one request per entry. Owned by
 * one thread.
 */
final class ConcurrencyShare {
    private static final double MAX_CREDIT = 1;

    private int inProgress;
    private double credit = MAX_CREDIT;
    private Instant updatedAt;

    ConcurrencyShare(Instant now) {
        this.updatedAt = now;
    }

    /** Whether another request may start; {@code part} is this entry's part of the limit. */
    boolean mayStart(double part, Instant now) {
        accrueCredit(part, now);
        int whole = (int) part;
        return inProgress < whole || (inProgress == whole && credit > 0);
    }

    void started() {
        inProgress++;
    }

    void ended(double part, Instant now) {
        accrueCredit(part, now);
        inProgress--;
    }

    int inProgress() {
        return inProgress;
    }

    /** Seconds until the credit for the extra slot is positive again; 0 if it already is. */
    double secondsUntilCredit(double part) {
        double fraction = part - (int) part;
        return credit > 0 || fraction <= 0 ? 0 : -credit / fraction;
    }

    private void accrueCredit(double part, Instant now) {
        double elapsed = Seconds.between(updatedAt, now);
        int whole = (int) part;
        double excess = inProgress > whole ? inProgress - whole : 0;
        credit = Math.min(MAX_CREDIT, credit + (part - whole - excess) * elapsed);
        updatedAt = now.isAfter(updatedAt) ? now : updatedAt;
    }
}
