package org.cornelramp.core.poison;

import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.cornelramp.core.model.BackendServerId;

/**
 * Concludes from broken connections, and from what is seen of their servers afterwards, which backend servers have
 * crashed and which requests they may have crashed under.
 *
 * <p>Invariant: a connection that breaks is no crash. It becomes one if the incarnation of the server is seen to have
 * ended, and is forgotten if the incarnation gives a sign of life, or if nothing is seen within
 * {@value #UNDECIDED_MILLIS} ms. A sign of life takes back an end that was only inferred, and none that is certain: an
 * answer may be handled late, and a server may start again under its id. Owned by one thread; all state is bounded by the
 * constants below.
 */
public final class CrashEvidence {
    /** Time after a break in which the end of its server explains it; an unrenewed registration expires within it. */
    public static final long UNDECIDED_MILLIS = 6_000;

    /** Time after a break or an end within which an answer may have been sent before it. */
    private static final long LATE_ANSWER_MILLIS = 500;

    private static final int MAX_SERVERS = 256;
    private static final int MAX_RUNS_PER_SERVER = 512;
    private static final int MAX_BROKEN_IN_PROGRESS = 4_096;

    private final Map<BackendServerId, List<BrokenRun>> undecided = new LinkedHashMap<>();
    private final Map<BackendServerId, End> ends = new LinkedHashMap<>();

    /** Requests that had made progress in an earlier run when its server crashed. */
    private final Map<String, Long> brokenInProgress = new LinkedHashMap<>();

    private record End(long millis, boolean certain) {}

    /**
     * A run of a request whose connection broke.
     *
     * @param parts names of the parts of its prompt that may have caused it
     * @param starting whether the run had hardly made any progress
     */
    private record BrokenRun(String fingerprint, Set<String> parts, boolean starting, long brokenMillis) {}

    /**
     * A crash of a backend server. Immutable, safe for use by any thread.
     *
     * @param report the crash with the requests that may have caused it
     * @param runs number of requests of this process that it has ended
     */
    public record Crash(CrashReport report, int runs) {}

    /**
     * What a sign of life takes back. Immutable, safe for use by any thread.
     *
     * @param breaks number of broken connections of which it was not known whether the server had crashed
     * @param crash whether the server was thought to have crashed
     */
    public record TakenBack(int breaks, boolean crash) {
        static final TakenBack NOTHING = new TakenBack(0, false);
    }

    /**
     * Records that the connection to a server broke while it ran a request.
     *
     * @param parts names of the parts of its prompt that may have caused it; none if it had made progress on them
     * @param starting whether the run had hardly made any progress. One that had is no suspect, unless an earlier run of
     *     the request ended like this as well
     * @param sentMillis when the request was sent; one that was sent after the server's end has not caused it
     * @return the crash, if the server is known to have ended
     */
    public Optional<Crash> recordBreak(
            BackendServerId server,
            String fingerprint,
            Set<String> parts,
            boolean starting,
            long sentMillis,
            long nowMillis) {
        End end = ends.get(server);
        if (end != null && sentMillis > end.millis()) {
            return Optional.empty();
        }
        List<BrokenRun> runs = undecided.computeIfAbsent(server, any -> new ArrayList<>());
        if (runs.size() < MAX_RUNS_PER_SERVER) {
            runs.add(new BrokenRun(fingerprint, Set.copyOf(parts), starting, nowMillis));
        }
        removeOldest(undecided, MAX_SERVERS);
        return end != null ? takeCrash(server) : Optional.empty();
    }

    /**
     * Records that an incarnation of a server has ended without leaving.
     *
     * @param certain whether its process is known to be gone
     * @return the crash, if requests ended with it
     */
    public Optional<Crash> recordEnd(BackendServerId server, boolean certain, long nowMillis) {
        End known = ends.get(server);
        if (known == null || (certain && !known.certain())) {
            ends.put(server, new End(nowMillis, certain));
        }
        removeOldest(ends, MAX_SERVERS);
        return takeCrash(server);
    }

    /**
     * Records a sign of life of an incarnation. An answer that was asked for before a break may have been sent before it,
     * and takes it back only {@value #LATE_ANSWER_MILLIS} ms later.
     *
     * @param askedMillis when the server was asked for what it has answered
     * @return what it takes back
     */
    public TakenBack recordSignOfLife(BackendServerId server, long askedMillis, long nowMillis) {
        End end = ends.get(server);
        if (end != null && isLate(end, askedMillis, nowMillis)) {
            return TakenBack.NOTHING;
        }
        List<BrokenRun> breaks = undecided.getOrDefault(server, List.of());
        List<BrokenRun> left = breaks.stream()
                .filter(run -> mayPrecede(run.brokenMillis(), askedMillis, nowMillis))
                .collect(Collectors.toCollection(ArrayList::new));
        undecided.remove(server);
        if (!left.isEmpty()) {
            undecided.put(server, left);
        }
        ends.remove(server);
        return new TakenBack(breaks.size() - left.size(), end != null && !end.certain());
    }

    private static boolean isLate(End end, long askedMillis, long nowMillis) {
        return end.certain()
                ? nowMillis - end.millis() < LATE_ANSWER_MILLIS
                : mayPrecede(end.millis(), askedMillis, nowMillis);
    }

    /** Whether an answer may have been sent before something that was seen at a time. */
    private static boolean mayPrecede(long seenMillis, long askedMillis, long nowMillis) {
        return askedMillis < seenMillis && nowMillis - seenMillis < LATE_ANSWER_MILLIS;
    }

    /** Whether there are servers of which it is not known yet whether they have crashed. */
    public boolean hasUndecided() {
        return !undecided.isEmpty();
    }

    /** Servers of which it is not known yet whether they have crashed. */
    public Set<BackendServerId> undecidedServers() {
        return Set.copyOf(undecided.keySet());
    }

    /** Number of servers that may have crashed under a request within the given time. */
    public long undecidedCrashes(String fingerprint, long maxAgeMillis, long nowMillis) {
        return undecided.values().stream()
                .filter(runs -> runs.stream()
                        .anyMatch(run ->
                                run.fingerprint().equals(fingerprint) && nowMillis - run.brokenMillis() < maxAgeMillis))
                .count();
    }

    /** Forgets the breaks that no end of a server has explained in time. */
    public void expire(long nowMillis) {
        undecided.values().forEach(runs -> runs.removeIf(run -> nowMillis - run.brokenMillis() > UNDECIDED_MILLIS));
        undecided.values().removeIf(List::isEmpty);
    }

    private Optional<Crash> takeCrash(BackendServerId server) {
        List<BrokenRun> runs = undecided.remove(server);
        if (runs == null) {
            return Optional.empty();
        }
        Set<String> suspects = new TreeSet<>();
        long at = Long.MAX_VALUE;
        for (BrokenRun run : runs) {
            at = Math.min(at, run.brokenMillis());
            suspects.addAll(run.parts());
            if (run.starting() || brokenInProgress.containsKey(run.fingerprint())) {
                suspects.add(run.fingerprint());
            } else {
                brokenInProgress.put(run.fingerprint(), run.brokenMillis());
            }
        }
        removeOldest(brokenInProgress, MAX_BROKEN_IN_PROGRESS);
        CrashReport report = new CrashReport(server.value(), Instant.ofEpochMilli(at), suspects);
        return Optional.of(new Crash(report, runs.size()));
    }

    private static <K, V> void removeOldest(Map<K, V> map, int maxSize) {
        while (map.size() > maxSize) {
            map.remove(map.keySet().iterator().next());
        }
    }
}
