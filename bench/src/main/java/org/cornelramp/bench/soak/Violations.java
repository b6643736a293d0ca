package org.cornelramp.bench.soak;

import java.util.ArrayList;
import java.util.List;

/** Collects violations of invariants. Safe for use by any thread. */
public final class Violations {
    private final List<String> all = new ArrayList<>();

    /**
     * Adds a violation.
     *
     * @param invariant short name of the invariant
     * @param detail what was observed
     */
    public synchronized void add(String invariant, String detail) {
        all.add(invariant + ": " + detail);
    }

    /** All violations so far, in the order in which they were found. */
    public synchronized List<String> all() {
        return List.copyOf(all);
    }
}
