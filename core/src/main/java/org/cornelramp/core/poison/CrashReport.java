package org.cornelramp.core.poison;

import java.time.Instant;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * One crash of one backend server with the requests that were in progress there. Immutable, safe for use by any
 * thread.
 *
 * <p>An agent omits requests of which it has seen another run complete, as these did not cause the crash.
 *
 * @param crashId id of the crash, the same in all reports of it: the agent's incarnation and the backend server's
 *     incarnation, or the agent's alone if the agent died as well
 * @param at when the crash was detected
 * @param suspects fingerprints of the requests in progress, and names of the parts of their prompts
 *     ({@link PromptParts}), at most {@value #MAX_SUSPECTS}
 */
public record CrashReport(String crashId, Instant at, Set<String> suspects) {
    /**
     * Most suspects of one crash; parts of prompts, and then those first in sort order, are kept, so that the order of
     * reports has no effect.
     */
    public static final int MAX_SUSPECTS = 512;

    private static final String SEPARATOR = "|";
    private static final Comparator<String> PARTS_FIRST = Comparator.comparing(
                    PromptParts::isPart, Comparator.reverseOrder())
            .thenComparing(Comparator.naturalOrder());

    public CrashReport {
        if (crashId.isEmpty() || crashId.contains(SEPARATOR)) {
            throw new IllegalArgumentException("A crash id must be non-empty and must not contain " + SEPARATOR);
        }
        suspects = firstSuspects(suspects);
    }

    /**
     * Parses the form that {@link #toString} writes for heartbeats and log records.
     *
     * @throws IllegalArgumentException if the text has another form
     */
    public static CrashReport parse(String text) {
        String[] parts = text.split("\\|", -1);
        if (parts.length != 3) {
            throw new IllegalArgumentException(
                    "A crash report must have the form crash|milliseconds|fingerprint,fingerprint,…");
        }
        Set<String> suspects = parts[2].isEmpty() ? Set.of() : new TreeSet<>(List.of(parts[2].split(",", -1)));
        return new CrashReport(parts[0], Instant.ofEpochMilli(Long.parseLong(parts[1])), suspects);
    }

    /** Merges two reports of one crash by entries that each know some suspects: the earlier time and all suspects. */
    public CrashReport with(CrashReport other) {
        TreeSet<String> all = new TreeSet<>(suspects);
        all.addAll(other.suspects);
        return new CrashReport(crashId, at.isBefore(other.at) ? at : other.at, all);
    }

    @Override
    public String toString() {
        return crashId + SEPARATOR + at.toEpochMilli() + SEPARATOR + String.join(",", suspects);
    }

    private static Set<String> firstSuspects(Collection<String> all) {
        return all.stream()
                .sorted(PARTS_FIRST)
                .distinct()
                .limit(MAX_SUSPECTS)
                .collect(Collectors.collectingAndThen(
                        Collectors.toCollection(TreeSet::new), Collections::unmodifiableSet));
    }
}
