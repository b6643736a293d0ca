package org.cornelramp.core.poison;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Determines which parts of prompts caused a set of crashes. The result depends only on the set, not on the order of the
 * reports. Confined to the thread that calls {@link #analyse}; the result is immutable.
 *
 * <p>Parts that were at exactly the same unexplained crashes form a group: nothing tells them apart, so they are blamed
 * together, and only a request that holds all of them is refused. One that holds some of them is sent, and shows by its
 * fate which ones they are. As in {@link CrashAnalysis} the strongest explanation goes first, and the crashes that it
 * explains are no evidence against other groups. Of two that are about equally strong only one is blamed, the first to be
 * at enough crashes: if it is the wrong one, the next crash makes the other one stronger.
 */
final class PartAnalysis {
    /**
     * Crashes of a group at which a single request was not. A request that comes again, with a part that hardly any other
     * one holds, explains its crashes by itself, and one more crash for another reason does not change that.
     */
    private static final int CRASHES_OF_OTHER_REQUESTS = 2;

    /** A group is clearly stronger by the score of one crash that nothing else explains. */
    private static final double CLEARLY_STRONGER = 1;

    private static final double SCORE_TOLERANCE = 1e-9;

    private final int blamedCrashes;
    private final List<Set<String>> requestsOfCrash = new ArrayList<>();
    private final Map<String, SortedSet<Integer>> unexplainedCrashesOf = new TreeMap<>();
    private final List<SortedSet<String>> blamed = new ArrayList<>();

    /** @param crashes numbers of the crashes, in the order of time */
    private record Group(SortedSet<String> parts, List<Integer> crashes) {
        boolean explainsMoreThan(Group other) {
            return crashes.size() > other.crashes.size() && new HashSet<>(crashes).containsAll(other.crashes);
        }
    }

    private PartAnalysis(int blamedCrashes) {
        this.blamedCrashes = blamedCrashes;
    }

    /**
     * Returns the groups of parts that caused crashes, the strongest explanation first.
     *
     * @param crashes the suspects of each crash, parts and requests, in the order of time
     */
    static List<SortedSet<String>> analyse(List<Set<String>> crashes, BlameThresholds thresholds) {
        PartAnalysis analysis = new PartAnalysis(thresholds.partCrashes());
        crashes.forEach(analysis::add);
        Optional<Group> strongest = analysis.strongest();
        while (strongest.isPresent()) {
            analysis.blame(strongest.get());
            strongest = analysis.strongest();
        }
        return List.copyOf(analysis.blamed);
    }

    private void add(Set<String> suspects) {
        int crash = requestsOfCrash.size();
        Set<String> requests = new HashSet<>();
        for (String suspect : suspects) {
            if (PromptParts.isPart(suspect)) {
                unexplainedCrashesOf
                        .computeIfAbsent(suspect, any -> new TreeSet<>())
                        .add(crash);
            } else {
                requests.add(suspect);
            }
        }
        requestsOfCrash.add(requests);
    }

    private void blame(Group group) {
        blamed.add(group.parts());
        unexplainedCrashesOf.keySet().removeAll(group.parts());
        unexplainedCrashesOf.values().forEach(crashes -> crashes.removeAll(group.crashes()));
    }

    /**
     * The group with the highest score, or one that is hardly weaker and had enough crashes earlier: as soon as a group is
     * refused it is at no more crashes, and those for other reasons go on.
     */
    private Optional<Group> strongest() {
        List<Group> groups = groups();
        Map<Integer, Integer> groupCounts = new HashMap<>();
        groups.forEach(group -> group.crashes().forEach(crash -> groupCounts.merge(crash, 1, Integer::sum)));
        double highest = groups.stream()
                .mapToDouble(group -> score(group, groupCounts))
                .max()
                .orElse(0);
        Comparator<Group> byTime = Comparator.comparing(group -> group.crashes().get(blamedCrashes - 1));
        return groups.stream()
                .filter(group -> score(group, groupCounts) > highest - CLEARLY_STRONGER + SCORE_TOLERANCE)
                .filter(group -> groups.stream().noneMatch(other -> other.explainsMoreThan(group)))
                .min(byTime.thenComparing(group -> -group.crashes().size())
                        .thenComparing(group -> group.parts().first()));
    }

    /** A crash that could be laid on n groups counts 1/n for each of them. */
    private static double score(Group group, Map<Integer, Integer> groupCounts) {
        return group.crashes().stream()
                .mapToDouble(crash -> 1.0 / groupCounts.get(crash))
                .sum();
    }

    /** The groups that may be blamed. */
    private List<Group> groups() {
        Map<List<Integer>, SortedSet<String>> partsAt = new HashMap<>();
        unexplainedCrashesOf.forEach((part, crashes) -> {
            if (crashes.size() >= blamedCrashes) {
                partsAt.computeIfAbsent(List.copyOf(crashes), any -> new TreeSet<>())
                        .add(part);
            }
        });
        List<Group> groups = new ArrayList<>();
        partsAt.forEach((crashes, parts) -> {
            if (!isExplainedByOneRequest(crashes)) {
                groups.add(new Group(parts, crashes));
            }
        });
        return groups;
    }

    private boolean isExplainedByOneRequest(List<Integer> crashes) {
        Map<String, Integer> counts = new HashMap<>();
        crashes.forEach(crash -> requestsOfCrash.get(crash).forEach(request -> counts.merge(request, 1, Integer::sum)));
        int most = counts.values().stream().mapToInt(count -> count).max().orElse(0);
        return crashes.size() - most < CRASHES_OF_OTHER_REQUESTS;
    }
}
