package org.cornelramp.core.poison;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * The groups of parts of prompts that are refused, by the crashes that a process knows and by what its peers refuse. A
 * request is refused if it holds all parts of a group. Immutable, safe for use by any thread.
 */
final class PartRefusals {
    static final PartRefusals NONE = new PartRefusals(List.of(), Map.of(), Set.of());

    /** The groups that are blamed for the crashes known here. */
    private final List<SortedSet<String>> blamed;

    /** When the refusal of a group ends, by its name. */
    private final Map<String, Instant> ends;

    /** Parts that were at a crash and are not cleared of it. */
    private final Set<String> uncleared;

    /**
     * A crash as far as it is evidence.
     *
     * @param suspects the suspects of the report that are not cleared of the crash
     * @param settled whether all processes have had the time to report what they know of it
     */
    record OpenCrash(CrashReport report, Set<String> suspects, boolean settled) {}

    private PartRefusals(List<SortedSet<String>> blamed, Map<String, Instant> ends, Set<String> uncleared) {
        this.blamed = blamed;
        this.ends = ends;
        this.uncleared = uncleared;
    }

    /**
     * Decides which groups are refused.
     *
     * @param peerMarks groups that peers refuse, without the parts that are cleared. One counts where the own reports are
     *     too few to blame it
     */
    static PartRefusals of(
            Collection<OpenCrash> crashes,
            Collection<PoisonMark> peerMarks,
            BlameThresholds thresholds,
            Duration retention) {
        Set<String> uncleared = crashes.stream()
                .flatMap(crash -> crash.suspects().stream())
                .filter(PromptParts::isPart)
                .collect(Collectors.toUnmodifiableSet());
        if (uncleared.isEmpty() && peerMarks.isEmpty()) {
            return NONE;
        }
        List<Set<String>> settled = crashes.stream()
                .filter(OpenCrash::settled)
                .sorted(Comparator.comparing(OpenCrash::report, PoisonDetector.BY_TIME))
                .map(OpenCrash::suspects)
                .toList();
        List<SortedSet<String>> blamed = PartAnalysis.analyse(settled, thresholds);
        Map<String, Instant> ends = new TreeMap<>();
        for (PoisonMark mark : peerMarks) {
            SortedSet<String> parts = PromptParts.membersOf(mark.fingerprint());
            if (countWith(crashes, parts) < thresholds.partCrashes()) {
                ends.merge(mark.fingerprint(), mark.until(), PoisonDetector::later);
            }
        }
        blamed.forEach(parts -> ends.merge(
                PromptParts.groupName(parts), lastCrash(crashes, parts).plus(retention), PoisonDetector::later));
        return new PartRefusals(blamed, ends, uncleared);
    }

    private static long countWith(Collection<OpenCrash> crashes, Set<String> parts) {
        return crashes.stream()
                .filter(crash -> crash.report().suspects().containsAll(parts))
                .count();
    }

    private static Instant lastCrash(Collection<OpenCrash> crashes, Set<String> parts) {
        return crashes.stream()
                .filter(crash -> crash.suspects().containsAll(parts))
                .map(crash -> crash.report().at())
                .max(Comparator.naturalOrder())
                .orElseThrow();
    }

    /** Whether a group that is blamed here explains a crash with these suspects. */
    boolean explains(Set<String> suspects) {
        return blamed.stream().anyMatch(suspects::containsAll);
    }

    /** The refusal of a request that holds these parts; empty if it is not refused. */
    Optional<PoisonMark> refusing(Set<String> parts) {
        return ends.entrySet().stream()
                .filter(end -> parts.containsAll(PromptParts.membersOf(end.getKey())))
                .map(end -> new PoisonMark(end.getKey(), end.getValue()))
                .findFirst();
    }

    /** When the refusal of a group ends, by its name. */
    Map<String, Instant> ends() {
        return ends;
    }

    /** Parts that were at a crash and are not cleared of it. */
    Set<String> uncleared() {
        return uncleared;
    }

    /** A refusal of a peer without the parts that are cleared since; empty if none is left. */
    static Optional<PoisonMark> without(Set<String> cleared, PoisonMark mark) {
        SortedSet<String> left = new TreeSet<>(PromptParts.membersOf(mark.fingerprint()));
        left.removeAll(cleared);
        return left.isEmpty()
                ? Optional.empty()
                : Optional.of(new PoisonMark(PromptParts.groupName(left), mark.until()));
    }
}
