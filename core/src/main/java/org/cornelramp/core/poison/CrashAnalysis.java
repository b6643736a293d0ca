package org.cornelramp.core.poison;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * Determines which requests caused a set of crashes. The result depends only on the set, not on the order or number of
 * the reports.
 *
 * <p>A request that was in progress at enough crashes is a culprit, but a crash that one request explains is no evidence
 * against the others in progress there. So the strongest explanation is applied first: the request with the highest
 * score, to which each of its crashes contributes less the more requests could have caused it. Requests that were in
 * progress at exactly the same crashes cannot be distinguished. They count as culprits only after more crashes, see
 * {@link BlameThresholds}. Until then none of them runs beside another one.
 */
final class CrashAnalysis {
    private static final double SCORE_TOLERANCE = 1e-9;

    private final BlameThresholds thresholds;
    private final Map<String, Set<Integer>> unexplainedCrashesOf = new HashMap<>();
    private final List<Set<String>> suspectsOfCrash = new ArrayList<>();
    private final Set<String> culprits = new TreeSet<>();
    private final Set<String> indistinguishable = new TreeSet<>();

    private CrashAnalysis(BlameThresholds thresholds) {
        this.thresholds = thresholds;
    }

    /** Analyses crashes, each given by the requests that were in progress. */
    static CrashAnalysis analyse(Collection<Set<String>> crashes, BlameThresholds thresholds) {
        CrashAnalysis analysis = new CrashAnalysis(thresholds);
        for (Set<String> suspects : crashes) {
            int index = analysis.suspectsOfCrash.size();
            analysis.suspectsOfCrash.add(suspects);
            suspects.forEach(s -> analysis.unexplainedCrashesOf
                    .computeIfAbsent(s, k -> new HashSet<>())
                    .add(index));
        }
        boolean more = true;
        while (more) {
            more = analysis.explainStrongest();
        }
        return analysis;
    }

    /** Returns the requests that caused crashes. */
    Set<String> culprits() {
        return culprits;
    }

    /** Returns the requests that the next crash may make culprits, counting no crash that a culprit explains. */
    SortedSet<String> suspects() {
        SortedSet<String> all = new TreeSet<>(indistinguishable);
        unexplainedCrashesOf.forEach((s, crashes) -> {
            if (crashes.size() >= thresholds.crashes() - 1) {
                all.add(s);
            }
        });
        all.removeAll(culprits);
        return all;
    }

    /** Number of crashes that a request may have caused and no culprit explains. */
    int unexplainedCrashes(String request) {
        return unexplainedCrashesOf.getOrDefault(request, Set.of()).size();
    }

    private boolean explainStrongest() {
        Map<String, Double> scores = scores();
        if (scores.isEmpty()) {
            return false;
        }
        double highest = scores.values().stream().mapToDouble(d -> d).max().orElse(0);
        Set<String> strongest = new TreeSet<>();
        scores.forEach((s, score) -> {
            if (score > highest - SCORE_TOLERANCE) {
                strongest.add(s);
            }
        });
        Set<Integer> explained = new HashSet<>();
        for (String s : strongest) {
            Set<Integer> crashes = unexplainedCrashesOf.get(s);
            boolean distinct = strongest.stream()
                    .noneMatch(o -> !o.equals(s) && unexplainedCrashesOf.get(o).equals(crashes));
            (distinct || crashes.size() >= thresholds.sharedCrashes() ? culprits : indistinguishable).add(s);
            explained.addAll(crashes);
        }
        unexplainedCrashesOf.values().forEach(c -> c.removeAll(explained));
        return true;
    }

    /** Scores each request with enough unexplained crashes: a crash with n such requests adds 1/n to each of them. */
    private Map<String, Double> scores() {
        Map<Integer, Integer> candidateCounts = new HashMap<>();
        Map<String, Double> scores = new HashMap<>();
        unexplainedCrashesOf.forEach((s, crashes) -> {
            if (crashes.size() >= thresholds.crashes()) {
                crashes.forEach(c -> candidateCounts.merge(c, 1, Integer::sum));
                scores.put(s, 0.0);
            }
        });
        scores.replaceAll((s, zero) -> unexplainedCrashesOf.get(s).stream()
                .mapToDouble(c -> 1.0 / candidateCounts.get(c))
                .sum());
        return scores;
    }
}
