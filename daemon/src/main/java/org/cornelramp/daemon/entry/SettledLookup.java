package org.cornelramp.daemon.entry;

import org.cornelramp.core.model.Incarnation;

/** Finds what a planned stop of an agent settled. Called on the router's thread; does not block. */
interface SettledLookup {

    /** Whether the log is known to hold the settlement of a planned stop of the agent. */
    boolean isSettled(Incarnation agent);

    /** Looks for a key of an ended incarnation; the router is told under the call's number. */
    void lookUp(Incarnation agent, String key, long call);
}
