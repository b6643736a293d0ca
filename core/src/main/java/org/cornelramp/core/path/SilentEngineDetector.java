package org.cornelramp.core.path;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cornelramp.core.model.BackendServerId;

/**
 * Tells from the pauses of streams which engines may be dead, and so are worth a question.
 *
 * <p>An engine in the middle of a path that dies is on no connection of the router; its streams only fall silent. Each of
 * them passes eight to ten engines, and asking all of them for every pause would cost more than it saves. But whatever
 * passed an engine a moment ago shows that it lived then, so only those are left that nothing has passed since the
 * silence began: one or two where many streams are under way.
 *
 * <p>Streams with slow events would have to be silent for long, each by itself. But the more streams pass an engine, the
 * shorter the time in which none of their events comes while it lives; so their silences count together, each in its own
 * usual pauses. Stateless, safe for use by any thread.
 */
public final class SilentEngineDetector {
    /**
     * Silence of a stream that counts, at least. A client takes a stream for late after a pause of 200 ms or more; of
     * that, finding the dead engine may take about half, since the prompt has to be read again elsewhere.
     */
    static final long LEAST_SILENCE_MILLIS = 100;

    /**
     * Silence of all streams of an engine that counts, if they are many enough. A third of the pause after which a client
     * takes a stream for late: the questions take another third, and reading the prompt elsewhere the last.
     */
    static final long SHARED_SILENCE_MILLIS = 70;

    /** Silence that counts however slow the stream is: ten usual pauses between events. */
    static final long MOST_SILENCE_MILLIS = 300;

    /** Silence before the first event that counts; a prompt is usually read in a tenth of it. */
    static final long FIRST_SILENCE_MILLIS = 400;

    /** A stream is silent after so many of its own usual pauses; the silences of an engine's streams add up to as many. */
    private static final double USUAL_PAUSES = 4;

    /** A stream flows for so many of its own usual pauses after an event: one that is late once is still under way. */
    private static final double FLOWING_PAUSES = 2;

    /** Time after an event in which a stream flows at least; the turns of a busy process come up to 50 ms late. */
    static final long LEAST_FLOWING_MILLIS = 60;

    /** Time after an event in which a stream flows at most: half of what a client waits for the next one. */
    static final long MOST_FLOWING_MILLIS = 1_000;

    /** Time after its first event in which a stream flows, while its usual pause is not known yet: ten usual pauses. */
    static final long FIRST_FLOWING_MILLIS = 300;

    /** Events that passed different paths at the same time reach the router so much apart. */
    private static final long SPREAD_MILLIS = 20;

    /** Events of an engine that has died may come so long after. */
    public static final long MAX_DELAY_AFTER_DEATH_MILLIS = 20;

    private SilentEngineDetector() {}

    /**
     * One stream under way. Immutable, safe for use by any thread.
     *
     * @param engines the engines that it passes
     * @param lastEventMillis when its last event came, or when it was sent if none has come since
     * @param begun whether an event has come since it was sent
     * @param usualPauseMillis its usual time between two events; 0 if that is not known
     */
    public record StreamActivity(
            List<BackendServerId> engines, long lastEventMillis, boolean begun, double usualPauseMillis) {
        public StreamActivity {
            engines = List.copyOf(engines);
        }

        boolean isSilent(long nowMillis) {
            double usual = Math.min(MOST_SILENCE_MILLIS, USUAL_PAUSES * usualPauseMillis);
            double limit = begun ? Math.max(LEAST_SILENCE_MILLIS, usual) : FIRST_SILENCE_MILLIS;
            return nowMillis - lastEventMillis > limit;
        }

        /**
         * Whether its events still come. They pass each engine of its path, so all of those live, whatever a question
         * that was not answered says; a stream that is cut then is lost for nothing.
         */
        public boolean isActive(long nowMillis) {
            double usual = Math.min(MOST_FLOWING_MILLIS, FLOWING_PAUSES * usualPauseMillis);
            double limit = usualPauseMillis == 0 ? FIRST_FLOWING_MILLIS : Math.max(LEAST_FLOWING_MILLIS, usual);
            return begun && nowMillis - lastEventMillis <= limit;
        }
    }

    /**
     * Whether events pass an engine, so that it lives although it has not answered a question. A gateway that has just
     * started, or whose link loses packets, misses answers; taken for dead, an engine costs each of its streams a new
     * start. What a dead engine had passed on arrives within {@value #MAX_DELAY_AFTER_DEATH_MILLIS} ms, and it is asked only after
     * a longer silence.
     */
    public static boolean hasRecentEvents(Collection<StreamActivity> streams, BackendServerId engine, long nowMillis) {
        return streams.stream()
                .filter(stream -> stream.begun()
                        && nowMillis - stream.lastEventMillis() <= LEAST_SILENCE_MILLIS - MAX_DELAY_AFTER_DEATH_MILLIS)
                .anyMatch(stream -> stream.engines().contains(engine));
    }

    /**
     * The engines that may be dead.
     *
     * @param late whether this process ran late just now; its streams then all look silent together, so only the silence of
     *     single streams counts
     */
    public static Set<BackendServerId> findSuspects(Collection<StreamActivity> streams, boolean late, long nowMillis) {
        Map<BackendServerId, Long> passed = new HashMap<>();
        for (StreamActivity stream : streams) {
            if (stream.begun()) {
                stream.engines().forEach(id -> passed.merge(id, stream.lastEventMillis(), Math::max));
            }
        }
        Set<BackendServerId> found = new HashSet<>();
        for (StreamActivity stream : streams) {
            if (stream.isSilent(nowMillis)) {
                long since = stream.lastEventMillis() + SPREAD_MILLIS;
                stream.engines().stream()
                        .filter(id -> passed.getOrDefault(id, Long.MIN_VALUE) <= since)
                        .forEach(found::add);
            }
        }
        if (!late) {
            silentTogether(streams, nowMillis).forEach((id, pauses) -> {
                if (pauses >= USUAL_PAUSES && nowMillis - passed.get(id) > SHARED_SILENCE_MILLIS) {
                    found.add(id);
                }
            });
        }
        return found;
    }

    /** For each engine the silences of the streams that pass it, each in usual pauses of that stream, in all. */
    private static Map<BackendServerId, Double> silentTogether(Collection<StreamActivity> streams, long nowMillis) {
        Map<BackendServerId, Double> pauses = new HashMap<>();
        for (StreamActivity stream : streams) {
            if (stream.begun() && stream.usualPauseMillis() > 0) {
                double silence = (nowMillis - stream.lastEventMillis()) / stream.usualPauseMillis();
                stream.engines().forEach(id -> pauses.merge(id, silence, Double::sum));
            }
        }
        return pauses;
    }
}
