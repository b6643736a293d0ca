package org.cornelramp.core.member;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The last report of each peer. Owned by one thread.
 *
 * <p>Invariant: at most one report is kept for each peer, and only until the peer falls silent. The reports are in the
 * order in which they were received, so the age of the oldest costs the same with any number of peers.
 *
 * @param <T> type of a report
 */
public final class PeerReports<T> {
    private final Map<String, Received<T>> byPeer = new LinkedHashMap<>();

    /**
     * A report with its age. Immutable, safe for use by any thread as far as the report is.
     *
     * @param receivedMillis when it was received, on the steady clock
     * @param silenceMillis time for which it counts unless the peer sends another, in milliseconds
     */
    public record Received<T>(T report, long receivedMillis, long silenceMillis) {
        /** Time since the report was received, in milliseconds. */
        public long ageMillis(long nowMillis) {
            return nowMillis - receivedMillis;
        }
    }

    /**
     * Records the report of a peer.
     *
     * @param silenceMillis time for which the report counts unless the peer sends another, in milliseconds
     * @return the previous report, which it replaces
     */
    public Optional<T> put(String peer, T report, long silenceMillis, long nowMillis) {
        Optional<T> previous = remove(peer); // a map keeps the position of a key whose value is replaced
        byPeer.put(peer, new Received<>(report, nowMillis, silenceMillis));
        return previous;
    }

    /** Removes and returns the report of a peer, which has ceased to send one. */
    public Optional<T> remove(String peer) {
        return Optional.ofNullable(byPeer.remove(peer)).map(Received::report);
    }

    /**
     * Removes and returns the reports that have expired.
     *
     * @param lagMillis how late this process is; updates may have been waiting unread for that time
     */
    public List<T> removeSilent(long lagMillis, long nowMillis) {
        List<T> silent = new ArrayList<>();
        byPeer.values().removeIf(received -> {
            boolean expired = received.ageMillis(nowMillis) > received.silenceMillis() + lagMillis;
            if (expired) {
                silent.add(received.report());
            }
            return expired;
        });
        return silent;
    }

    /** The reports that count, by the name of the peer; a view. */
    public Map<String, Received<T>> all() {
        return Collections.unmodifiableMap(byPeer);
    }

    /** Number of peers whose report counts. */
    public int size() {
        return byPeer.size();
    }

    /** Time since the oldest report that counts was received, in milliseconds; 0 if there is none. */
    public long oldestAgeMillis(long nowMillis) {
        return byPeer.isEmpty() ? 0 : byPeer.values().iterator().next().ageMillis(nowMillis);
    }
}
