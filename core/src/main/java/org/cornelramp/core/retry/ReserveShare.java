package org.cornelramp.core.retry;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * This process's part of a reserve that all processes share, and what it lends to others.
 *
 * <p>Split evenly, the reserve runs dry on one process while the others hardly use theirs. A process that needs none
 * lends some to one that does: it takes the amount off its own part first and then tells it, as the total that stands.
 * So news may be lost, repeated or late, and the parts never add up to more than the reserve. Owned by one thread.
 *
 * <p>Invariant: what a process counts as borrowed was taken off the lender's part before it was told.
 */
public final class ReserveShare {
    private final Map<String, Integer> lent = new HashMap<>();
    private final Map<String, Integer> borrowed = new HashMap<>();

    /** This process's part now, given its even part. */
    public double own(double even) {
        int out = lent.values().stream().mapToInt(Integer::intValue).sum();
        int in = borrowed.values().stream().mapToInt(Integer::intValue).sum();
        return even - out + in;
    }

    /** Lends some more to a process. */
    public void lend(String to, int amount) {
        lent.merge(to, amount, Integer::sum);
    }

    /** What is lent to each process in all, to be told to them. */
    public Map<String, Integer> lent() {
        return Map.copyOf(lent);
    }

    /** Takes what another process says that it lends in all; one that has just started again lends nothing. */
    public void told(String from, int total) {
        if (total > 0) {
            borrowed.put(from, total);
        } else {
            borrowed.remove(from);
        }
    }

    /** Gives back what was borrowed of processes that are not heard any more: their part goes to those that are left. */
    public void forgetLenders(Predicate<String> heard) {
        borrowed.keySet().removeIf(name -> !heard.test(name));
    }
}
