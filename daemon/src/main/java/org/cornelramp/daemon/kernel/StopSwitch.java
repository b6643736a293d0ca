package org.cornelramp.daemon.kernel;

/** Starts the planned stop of this process, as the first stop signal does. Safe for use by any thread. */
public interface StopSwitch {

    /** Starts the planned stop; repeated calls have no effect. */
    void stop();
}
