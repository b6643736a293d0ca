package org.cornelramp.core.path;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cornelramp.core.model.BackendServerId;

/**
 * Detects from gaps between the events of streams which engines may be dead and should be probed.
 *
 * <p>The router has no connection to an engine in the middle of a path. When such an engine dies, its streams only stop
 * sending events. Each stream passes eight to ten engines, and probing all of them at every gap would cost more than it
 * saves. An event that has passed an engine shows that the engine was alive then, so only engines that no event has
 * passed since the silence began are suspects: one or two if many streams are in progress.
 *
 * <p>A stream with slow events would have to be silent for long to count by itself. But the more streams pass a live
 * engine, the shorter is the time without an event of any of them. The silences of the streams of an engine are
 * therefore added up, each in multiples of its own usual interval. Stateless, safe for use by any thread.
 */
public final class SilentEngineDetector {
    /**
     * Least silence of a single stream that counts. A client regards a stream as late after a gap of 200 ms or more.
     * Finding the dead engine may take about half of that, as the prompt has to be read again on other engines.
     */
    static final long MIN_SILENCE_MILLIS = 100;

    /**
     * Least silence of all streams of an engine that counts, if there are enough of them. It is a third of the gap after
     * which a client regards a stream as late; the probes take another third and reading the prompt again the last.
     */
    static final long MIN_COMBINED_SILENCE_MILLIS = 70;

    /** Silence that counts however slow the stream is: ten usual intervals between events. */
    static final long MAX_SILENCE_MILLIS = 300;

    /** Silence before the first event that counts: ten times the usual time to read a prompt. */
    static final long FIRST_EVENT_SILENCE_MILLIS = 400;

    /** Usual intervals without an event after which a stream is silent, and an engine by the sum over its streams. */
    private static final double SILENT_INTERVALS = 4;

    /** Usual intervals after an event for which a stream is active, so that it stays so when a single event is late. */
    private static final double ACTIVE_INTERVALS = 2;

    /** Least time after an event for which a stream is active; the event loop of a busy process lags by up to 50 ms. */
    static final long MIN_ACTIVE_MILLIS = 60;

    /** Most time after an event for which a stream is active: half the time that a client waits for the next one. */
    static final long MAX_ACTIVE_MILLIS = 1_000;

    /** Time after its first event for which a stream is active, until its interval is known: ten usual intervals. */
    static final long FIRST_EVENT_ACTIVE_MILLIS = 300;

    /** Most difference of the arrival times of events that have passed an engine at the same time on different paths. */
    private static final long ARRIVAL_SPREAD_MILLIS = 20;

    /** Longest time after the death of an engine in which events that it has passed on still arrive. */
    public static final long MAX_DELAY_AFTER_DEATH_MILLIS = 20;

    private SilentEngineDetector() {}

    /**
     * One stream in progress. Immutable, safe for use by any thread.
     *
     * @param engines the engines of its path
     * @param lastEventMillis when its last event arrived, or when it was sent if none has arrived since
     * @param begun whether an event has arrived since it was sent
     * @param usualIntervalMillis usual time between two of its events; 0 if not known
     */
    public record StreamActivity(
            List<BackendServerId> engines, long lastEventMillis, boolean begun, double usualIntervalMillis) {
        public StreamActivity {
            engines = List.copyOf(engines);
        }

        boolean isSilent(long nowMillis) {
            double usual = Math.min(MAX_SILENCE_MILLIS, SILENT_INTERVALS * usualIntervalMillis);
            double limit = begun ? Math.max(MIN_SILENCE_MILLIS, usual) : FIRST_EVENT_SILENCE_MILLIS;
            return nowMillis - lastEventMillis > limit;
        }

        /**
         * Whether its events still arrive. They pass each engine of the path, so all of these are alive, even if a probe
         * was not answered. Cancelling such a stream would break it off without need.
         */
        public boolean isActive(long nowMillis) {
            double usual = Math.min(MAX_ACTIVE_MILLIS, ACTIVE_INTERVALS * usualIntervalMillis);
            double limit = usualIntervalMillis == 0 ? FIRST_EVENT_ACTIVE_MILLIS : Math.max(MIN_ACTIVE_MILLIS, usual);
            return begun && nowMillis - lastEventMillis <= limit;
        }
    }

    /**
     * Whether recent events have passed an engine, which is then alive even if it has not answered a probe. A gateway
     * that has just started, or whose link loses packets, misses answers to probes, and an engine that is wrongly taken
     * for dead costs a restart of each of its streams. Events of a dead engine arrive within
     * {@value #MAX_DELAY_AFTER_DEATH_MILLIS} ms of its death, and it is probed only after a longer silence.
     */
    public static boolean hasRecentEvents(Collection<StreamActivity> streams, BackendServerId engine, long nowMillis) {
        return streams.stream()
                .filter(stream -> stream.begun()
                        && nowMillis - stream.lastEventMillis() <= MIN_SILENCE_MILLIS - MAX_DELAY_AFTER_DEATH_MILLIS)
                .anyMatch(stream -> stream.engines().contains(engine));
    }

    /**
     * Returns the engines that may be dead.
     *
     * @param late whether this process has just been delayed; all its streams then look silent at once, so only the
     *     silence of single streams counts
     */
    public static Set<BackendServerId> findSuspects(Collection<StreamActivity> streams, boolean late, long nowMillis) {
        Map<BackendServerId, Long> lastPassed = new HashMap<>();
        for (StreamActivity stream : streams) {
            if (stream.begun()) {
                stream.engines().forEach(id -> lastPassed.merge(id, stream.lastEventMillis(), Math::max));
            }
        }
        Set<BackendServerId> suspects = new HashSet<>();
        for (StreamActivity stream : streams) {
            if (stream.isSilent(nowMillis)) {
                long since = stream.lastEventMillis() + ARRIVAL_SPREAD_MILLIS;
                stream.engines().stream()
                        .filter(id -> lastPassed.getOrDefault(id, Long.MIN_VALUE) <= since)
                        .forEach(suspects::add);
            }
        }
        if (!late) {
            combinedSilences(streams, nowMillis).forEach((id, intervals) -> {
                if (intervals >= SILENT_INTERVALS && nowMillis - lastPassed.get(id) > MIN_COMBINED_SILENCE_MILLIS) {
                    suspects.add(id);
                }
            });
        }
        return suspects;
    }

    /** For each engine, the sum of the silences of its streams, each in multiples of the stream's usual interval. */
    private static Map<BackendServerId, Double> combinedSilences(Collection<StreamActivity> streams, long nowMillis) {
        Map<BackendServerId, Double> intervals = new HashMap<>();
        for (StreamActivity stream : streams) {
            if (stream.begun() && stream.usualIntervalMillis() > 0) {
                double silence = (nowMillis - stream.lastEventMillis()) / stream.usualIntervalMillis();
                stream.engines().forEach(id -> intervals.merge(id, silence, Double::sum));
            }
        }
        return intervals;
    }
}
