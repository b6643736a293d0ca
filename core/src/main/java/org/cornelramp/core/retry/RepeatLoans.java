package org.cornelramp.core.retry;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Repeats that this process has lent to other processes, and those that it has borrowed, to one service.
 *
 * <p>Each process has the same part of the repeats, so one that meets a burst of failures runs dry while the others hardly
 * use theirs, and its callers are refused although the fleet could serve them. So it asks, and whoever has some to spare
 * lends. A loan answers one ask, once; the lender counts it as used before it tells of it, and goes on counting it until no
 * window can hold the borrower's use of it any more. So news may be lost, late, doubled or out of order, and processes may
 * die and come back: a loan may be wasted, but is never used twice or beyond the bound.
 *
 * <p>Invariant: whatever a process uses of a loan, the lender counts as its own at that moment and for a window after it.
 * The borrower's steady clock must not stand still for longer than the news take; what a suspended process uses late is at
 * most one loan of each lender. Owned by one thread.
 */
final class RepeatLoans {
    /** Time after an ask in which what is lent on it may be used, in milliseconds: eight rounds of news. */
    static final long VALID_MILLIS = 1_000;

    /** How long one ask stands, in milliseconds; then the news of four rounds have come, and a new one asks again. */
    static final long ASK_MILLIS = 500;

    private final long windowMillis;
    private final RandomGenerator ids;
    private final Deque<Lent> lent = new ArrayDeque<>();
    private final Map<String, Long> answered = new HashMap<>();
    private final Deque<Borrowed> borrowed = new ArrayDeque<>();
    private final Set<String> lenders = new HashSet<>();
    private RetryLoanUpdate.LoanRequest ask;
    private long askedMillis;

    /** A loan as the lender keeps it. Immutable. */
    private record Lent(String to, long ask, int amount, long lentMillis) {}

    /** What is left of a loan at the borrower. Immutable. */
    private record Borrowed(int amount, long untilMillis) {}

    /**
     * @param windowMillis length of the window in which repeats are bounded
     * @param ids makes the numbers of asks; they must differ from those of this process's earlier lives
     */
    RepeatLoans(long windowMillis, RandomGenerator ids) {
        this.windowMillis = windowMillis;
        this.ids = ids;
    }

    /** Asks each peer for so many repeats, or for none. */
    void ask(int amount, long nowMillis) {
        boolean stands = ask != null && nowMillis - askedMillis < ASK_MILLIS;
        if (amount <= 0) {
            ask = null;
        } else if (!stands) {
            ask = new RetryLoanUpdate.LoanRequest(ids.nextLong(), amount);
            askedMillis = nowMillis;
            lenders.clear();
        }
    }

    /** What this process asks for now. */
    Optional<RetryLoanUpdate.LoanRequest> asks() {
        return Optional.ofNullable(ask);
    }

    /**
     * Lends on a process's ask what it asks for and is there to spare; an ask is answered once.
     *
     * @param spare repeats that this process can do without
     */
    void lend(String to, RetryLoanUpdate.LoanRequest theirs, int spare, long nowMillis) {
        int amount = Math.min(theirs.amount(), spare);
        if (amount > 0 && !Long.valueOf(theirs.id()).equals(answered.get(to))) {
            answered.put(to, theirs.id());
            lent.add(new Lent(to, theirs.id(), amount, nowMillis));
        }
    }

    /** The loans that are still to be told; each is told for as long as it may be used. */
    List<RetryLoanUpdate.Loan> toTell(long nowMillis) {
        List<RetryLoanUpdate.Loan> loans = new ArrayList<>();
        for (Lent one : lent) {
            if (nowMillis - one.lentMillis() < VALID_MILLIS) {
                loans.add(new RetryLoanUpdate.Loan(one.to(), one.ask(), one.amount()));
            }
        }
        return loans;
    }

    /** Repeats that are lent and count as used by this process. */
    int booked(long nowMillis) {
        while (!lent.isEmpty() && nowMillis - lent.peek().lentMillis() > windowMillis + VALID_MILLIS) {
            lent.poll();
        }
        if (lent.isEmpty()) {
            answered.clear();
        }
        return lent.stream().mapToInt(Lent::amount).sum();
    }

    /** Takes a loan that a process tells of; it counts if it answers the ask that stands, once for each lender. */
    void told(String from, RetryLoanUpdate.Loan loan, long nowMillis) {
        long until = askedMillis + VALID_MILLIS;
        boolean answers = ask != null && ask.id() == loan.requestId() && nowMillis < until;
        if (answers && loan.amount() > 0 && lenders.add(from)) {
            borrowed.add(new Borrowed(loan.amount(), until));
        }
    }

    /** Repeats that are borrowed and may still be used. */
    int left(long nowMillis) {
        borrowed.removeIf(one -> nowMillis >= one.untilMillis());
        return borrowed.stream().mapToInt(Borrowed::amount).sum();
    }

    /** Uses one repeat that was borrowed; false if none is left. */
    boolean tryUse(long nowMillis) {
        if (left(nowMillis) == 0) {
            return false;
        }
        Borrowed oldest = borrowed.remove();
        if (oldest.amount() > 1) {
            borrowed.addFirst(new Borrowed(oldest.amount() - 1, oldest.untilMillis()));
        }
        return true;
    }
}
