package org.cornelramp.daemon.kernel;

/** Begins this process's planned stop, as its first stop signal does. Safe for use by any thread. */
public interface StopSwitch {

    /** Begins the planned stop; a repeat changes nothing. */
    void stop();
}
