package org.cornelramp.gateway.follow;

import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * Finds a peer that has a newer configuration in force than this process. Safe for use by any thread; the present time is
 * passed in.
 *
 * <p>A process that starts reads what the store has. That may be nothing while the store is away, and an older version
 * after it was restored from a copy; served from that one, an accepted change would slip back for its callers.
 */
public final class PeerVersions {
    /** Version of a process that has none. */
    public static final long NONE = -1;

    /** How long a peer is ahead before it is asked: a new version usually comes from the store within a fifth of it. */
    static final long AHEAD_MILLIS = 500;

    private final LongSupplier own;
    private String host = "";
    private long version = NONE;
    private long askMillis;

    /** @param own the version in force in this process; {@link #NONE} if there is none */
    public PeerVersions(LongSupplier own) {
        this.own = own;
    }

    /** The version in force in this process; {@link #NONE} if there is none. */
    public long own() {
        return own.getAsLong();
    }

    /** Takes which version a peer has in force. */
    public synchronized void heard(String peer, long theirs, long nowMillis) {
        if (theirs > version) {
            version = theirs;
            askMillis = nowMillis + (own() == NONE ? 0 : AHEAD_MILLIS);
        }
        if (theirs == version) {
            host = peer; // the last that was heard is the most likely to answer
        }
    }

    /** Host of a peer to ask now for its newer version; it is named again only after a while. */
    synchronized Optional<String> toAsk(long nowMillis) {
        if (version <= own() || nowMillis < askMillis) {
            return Optional.empty();
        }
        askMillis = nowMillis + AHEAD_MILLIS;
        return Optional.of(host);
    }
}
