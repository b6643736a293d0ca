package org.cornelramp.core.fence;

/**
 * Decides whether an agent passes an order on: it never passes one of an older term than the newest it knows.
 *
 * <p>Not every engine checks terms itself, and the agent is the only sender of orders to its engine, so this check
 * holds for both kinds. A holder of a term that was paused and wakes still believes that it is in charge; its order
 * carries its old term and is refused here. Confined to one thread. Invariants: the newest term never falls; before
 * it is learned, from the log or a peer, no order passes, since a restarted agent has forgotten what it has seen.
 */
public final class TermGuard {
    /** What a heartbeat carries while no term is known. */
    public static final long UNKNOWN = -1;

    private long newest = UNKNOWN;
    private boolean learned;

    /** What becomes of an order. */
    public enum Decision {
        /** Pass it on. */
        PASS,
        /** Refuse it: a newer term is known. */
        STALE,
        /** Refuse it for now: the newest term has not been learned since the start. */
        NOT_LEARNED
    }

    /** Notes a term that a peer knows; it proves that the term was claimed. */
    public void heard(long term) {
        newest = Math.max(newest, term);
    }

    /**
     * Notes that the newest term has been read.
     *
     * @param term the newest term on the log, or that of a peer that has read it; {@link #UNKNOWN} if none was claimed
     */
    public void learned(long term) {
        heard(term);
        learned = true;
    }

    /** Decides on an order of a term; one that passes makes its term the newest. */
    public Decision decide(long term) {
        if (term < newest) {
            return Decision.STALE;
        }
        if (!learned) {
            return Decision.NOT_LEARNED;
        }
        newest = term;
        return Decision.PASS;
    }

    /** The newest term known. */
    public long newest() {
        return newest;
    }

    /** Whether the newest term has been read since the start. */
    public boolean isLearned() {
        return learned;
    }
}
