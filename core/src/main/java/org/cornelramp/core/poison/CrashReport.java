package org.cornelramp.core.poison;

import java.time.Instant;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * One crash of one backend server, with the requests that were in progress there. Immutable, safe for use by any
 * thread.
 *
 * <p>An agent leaves out requests of which it saw another run complete: what has run whole is not what crashed.
 *
 * @param crashId names the crash, the same in every report of it: the agent's incarnation and the backend server's
 *     life, or the incarnation alone when the agent died as well
 * @param at when it was noticed
 * @param suspects fingerprints of the requests in progress, at most {@value #MAX_SUSPECTS}
 */
public record CrashReport(String crashId, Instant at, Set<String> suspects) {
    /** Most suspects of one crash; those that sort first are kept, whatever the order of reports. */
    public static final int MAX_SUSPECTS = 512;

    private static final String SEPARATOR = "|";

    public CrashReport {
        if (crashId.isEmpty() || crashId.contains(SEPARATOR)) {
            throw new IllegalArgumentException("A crash is named by a text without " + SEPARATOR);
        }
        suspects = first(suspects);
    }

    /** Reads the form that {@link #toString} writes, for heartbeats and log records. */
    public static CrashReport parse(String text) {
        String[] parts = text.split("\\|", -1);
        if (parts.length != 3) {
            throw new IllegalArgumentException("A crash report reads crash|milliseconds|fingerprint,fingerprint,…");
        }
        Set<String> suspects = parts[2].isEmpty() ? Set.of() : new TreeSet<>(List.of(parts[2].split(",", -1)));
        return new CrashReport(parts[0], Instant.ofEpochMilli(Long.parseLong(parts[1])), suspects);
    }

    /** Joins two reports of one crash, from entries that each knew a part: the earlier time, all suspects. */
    public CrashReport with(CrashReport other) {
        TreeSet<String> all = new TreeSet<>(suspects);
        all.addAll(other.suspects);
        return new CrashReport(crashId, at.isBefore(other.at) ? at : other.at, all);
    }

    @Override
    public String toString() {
        return crashId + SEPARATOR + at.toEpochMilli() + SEPARATOR + String.join(",", suspects);
    }

    private static Set<String> first(Collection<String> all) {
        TreeSet<String> sorted = new TreeSet<>(all);
        while (sorted.size() > MAX_SUSPECTS) {
            sorted.pollLast();
        }
        return java.util.Collections.unmodifiableSet(sorted);
    }
}
