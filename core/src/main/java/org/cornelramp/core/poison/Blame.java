package org.cornelramp.core.poison;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Works out which requests caused a set of crashes. A pure function of the set: neither the order of the reports
 * nor how often each came matters.
 *
 * <p>A request that was in progress at two crashes is blamed, but a crash that is explained by one request says
 * nothing against those that ran beside it. So the strongest explanation goes first: the request with the most
 * crashes, each counted less the more requests it could be laid on. Requests that were together at exactly the same
 * crashes cannot be told apart; they are blamed only after {@value #MAX_SHARED} crashes, when the fleet counts for
 * more than the innocent one of them, and until then each runs apart from the others.
 */
final class Blame {
    static final int CRASHES = 2;
    static final int MAX_SHARED = 4;

    private static final double EQUAL = 1e-9;

    private final Map<String, Set<Integer>> crashesOf = new HashMap<>();
    private final List<Set<String>> unexplained = new ArrayList<>();
    private final Set<String> blamed = new TreeSet<>();
    private final Set<String> unclear = new TreeSet<>();

    private Blame() {}

    /** Blames requests for crashes, given as the requests in progress at each. */
    static Blame of(Collection<Set<String>> crashes) {
        Blame blame = new Blame();
        for (Set<String> suspects : crashes) {
            int index = blame.unexplained.size();
            blame.unexplained.add(suspects);
            suspects.forEach(s ->
                    blame.crashesOf.computeIfAbsent(s, k -> new HashSet<>()).add(index));
        }
        boolean more = true;
        while (more) {
            more = blame.explainMore();
        }
        return blame;
    }

    /** Requests that caused crashes. */
    Set<String> blamed() {
        return blamed;
    }

    /** Requests that were at an unexplained crash and may have caused it. */
    Set<String> suspects() {
        Set<String> all = new TreeSet<>(unclear);
        crashesOf.forEach((s, crashes) -> {
            if (!crashes.isEmpty()) {
                all.add(s);
            }
        });
        all.removeAll(blamed);
        return all;
    }

    private boolean explainMore() {
        Map<String, Double> scores = scores();
        if (scores.isEmpty()) {
            return false;
        }
        double top = scores.values().stream().mapToDouble(d -> d).max().orElse(0);
        Set<String> strongest = new TreeSet<>();
        scores.forEach((s, score) -> {
            if (score > top - EQUAL) {
                strongest.add(s);
            }
        });
        Set<Integer> explained = new HashSet<>();
        for (String s : strongest) {
            Set<Integer> crashes = crashesOf.get(s);
            boolean alone = strongest.stream()
                    .noneMatch(o -> !o.equals(s) && crashesOf.get(o).equals(crashes));
            (alone || crashes.size() >= MAX_SHARED ? blamed : unclear).add(s);
            explained.addAll(crashes);
        }
        crashesOf.values().forEach(c -> c.removeAll(explained));
        return true;
    }

    /** Score of each request with enough unexplained crashes: a crash that could be laid on n counts 1/n. */
    private Map<String, Double> scores() {
        Map<Integer, Integer> contenders = new HashMap<>();
        Map<String, Double> scores = new HashMap<>();
        crashesOf.forEach((s, crashes) -> {
            if (crashes.size() >= CRASHES) {
                crashes.forEach(c -> contenders.merge(c, 1, Integer::sum));
                scores.put(s, 0.0);
            }
        });
        scores.replaceAll((s, zero) -> crashesOf.get(s).stream()
                .mapToDouble(c -> 1.0 / contenders.get(c))
                .sum());
        return scores;
    }
}
