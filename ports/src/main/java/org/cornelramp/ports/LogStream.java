package org.cornelramp.ports;

import java.util.Locale;

/** The streams of the system on the log service. */
public enum LogStream {
    /** Table edits and snapshots. */
    TABLE,
    /** Bindings of callers' own idempotency keys, and the outcomes that agents record at planned stops. */
    KEYS,
    /** Claims of terms. */
    TERMS,
    /** Fingerprints of requests that crash backend servers. */
    SET_ASIDE;

    /** The stream's name on the log service. */
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
