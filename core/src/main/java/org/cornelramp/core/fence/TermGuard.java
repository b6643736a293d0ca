package org.cornelramp.core.fence;

/**
 * Fencing of orders by term: decides whether an agent forwards an order to its engine. An order with an older term than
 * the newest known one is never forwarded.
 *
 * <p>Not every engine checks terms itself. The agent is the only sender of orders to its engine, so this check protects
 * engines with and without a check of their own. A leader that resumes after a pause may still assume that it is in
 * charge; its order carries its old term and is refused here.
 *
 * <p>Confined to one thread. Invariants: the newest term never decreases; no order passes before the newest term is
 * learned from the log or a peer, since a restarted agent has lost the terms that it had seen.
 */
public final class TermGuard {
    /** Value in heartbeats while no term is known. */
    public static final long UNKNOWN = -1;

    private long newestTerm = UNKNOWN;
    private boolean learned;

    /** Decision on an order. */
    public enum Decision {
        /** Forward it. */
        PASS,
        /** Refuse it: a newer term is known. */
        STALE,
        /** Refuse it for now: the newest term has not been learned since the start of the agent. */
        NOT_LEARNED
    }

    /** Records a term that a peer knows, which proves that the term was claimed. */
    public void observe(long term) {
        newestTerm = Math.max(newestTerm, term);
    }

    /**
     * Records that the newest term has been read.
     *
     * @param term the newest term on the log, or that of a peer that has read it; {@link #UNKNOWN} if none was claimed
     */
    public void markLearned(long term) {
        observe(term);
        learned = true;
    }

    /** Decides on an order with the given term; the term of an order that passes becomes the newest. */
    public Decision decide(long term) {
        if (term < newestTerm) {
            return Decision.STALE;
        }
        if (!learned) {
            return Decision.NOT_LEARNED;
        }
        newestTerm = term;
        return Decision.PASS;
    }

    /** The newest term known. */
    public long newestTerm() {
        return newestTerm;
    }

    /** Whether the newest term has been read since the start of the agent. */
    public boolean isLearned() {
        return learned;
    }
}
