package org.cornelramp.gateway.follow;

import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * Finds a peer that has a newer configuration in force than this process. Safe for use by any thread; the current time
 * is passed in.
 *
 * <p>A starting process reads the configuration from the store. That may be none while the store is unavailable, or an
 * older version after the store was restored from a copy; with the older version in force, an accepted change would be
 * reverted for the callers of this process.
 */
public final class PeerConfigVersions {
    /** The version of a process without a configuration. */
    public static final long NONE = -1;

    /**
     * How long a peer must be ahead before it is asked; a new version usually arrives from the store within a fifth of
     * this time.
     */
    static final long FETCH_DELAY_MILLIS = 500;

    private final LongSupplier ownVersion;
    private String host = "";
    private long version = NONE;
    private long nextAskMillis;

    /** @param own the version in force in this process; {@link #NONE} if there is none */
    public PeerConfigVersions(LongSupplier own) {
        this.ownVersion = own;
    }

    /** The version in force in this process; {@link #NONE} if there is none. */
    public long ownVersion() {
        return ownVersion.getAsLong();
    }

    /** Records the version that a peer has in force. */
    public synchronized void recordVersion(String peer, long peerVersion, long nowMillis) {
        if (peerVersion > version) {
            version = peerVersion;
            nextAskMillis = nowMillis + (ownVersion() == NONE ? 0 : FETCH_DELAY_MILLIS);
        }
        if (peerVersion == version) {
            host = peer; // the peer that sent the latest update is the most likely to answer
        }
    }

    /**
     * Host of a peer to ask now for its newer version; empty if there is none, or for {@link #FETCH_DELAY_MILLIS} after
     * it was returned.
     */
    synchronized Optional<String> peerToAsk(long nowMillis) {
        if (version <= ownVersion() || nowMillis < nextAskMillis) {
            return Optional.empty();
        }
        nextAskMillis = nowMillis + FETCH_DELAY_MILLIS;
        return Optional.of(host);
    }
}
