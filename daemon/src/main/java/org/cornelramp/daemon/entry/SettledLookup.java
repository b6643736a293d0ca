package org.cornelramp.daemon.entry;

import org.cornelramp.core.model.Incarnation;

/** Finds what a planned stop of an agent settled. Called on the router's thread; does not block. */
interface SettledLookup {

    /** Looks for a key of an ended incarnation; the router is told under the call's number. */
    void lookUp(Incarnation agent, String key, long call);
}
