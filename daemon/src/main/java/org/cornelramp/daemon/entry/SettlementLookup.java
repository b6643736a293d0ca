package org.cornelramp.daemon.entry;

import org.cornelramp.core.model.Incarnation;

/** Finds the results that a planned stop of an agent left on the log. Called on the router's thread; does not block. */
interface SettlementLookup {

    /** Whether the log is known to hold the settlement of a planned stop of this incarnation. */
    boolean isSettled(Incarnation agent);

    /**
     * Looks up a key of an ended incarnation. The result is passed to {@link Router#lookupCompleted} with the id of the
     * call.
     */
    void lookUp(Incarnation agent, String key, long callId);
}
