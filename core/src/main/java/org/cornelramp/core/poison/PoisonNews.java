package org.cornelramp.core.poison;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Decides what a process tells its peers about crashes and poison requests, and enters what they tell into its detector.
 * Owned by one thread.
 *
 * <p>Invariants: only the process that has seen a crash, a clearance or a sign of life tells it, so that none circulates
 * without end. A refusal is told by all that know it, so that a process which has just started learns it from any peer;
 * each passing on shortens it by more than an update takes, so that it ends all the same. An update has at most
 * {@value #MAX_SUSPECTS} suspects, of the newest crashes first, and {@value #MAX_OTHERS} entries of each other kind.
 */
public final class PoisonNews {
    /** Time for which a fact is told: each peer of a large fleet is reached twice in it, and datagrams get lost. */
    static final long TELL_MILLIS = 10_000;

    /**
     * What a crash or a refusal ages on its way, more than an update takes: it must not look newer than a sign of life or
     * a clearance that came after it.
     */
    static final long PASSING_MILLIS = 1_000;

    static final int MAX_SUSPECTS = 96;
    static final int MAX_OTHERS = 32;

    private final PoisonDetector detector;
    private final Map<String, Told<CrashReport>> crashes = new LinkedHashMap<>();
    private final Map<String, Told<Instant>> clearances = new LinkedHashMap<>();
    private final Map<String, Told<Instant>> signsOfLife = new LinkedHashMap<>();

    private record Told<T>(T fact, long sinceMillis) {}

    public PoisonNews(PoisonDetector detector) {
        this.detector = detector;
    }

    private static Instant instant(long millis) {
        return Instant.ofEpochMilli(millis);
    }

    /** Enters a crash that this process has seen; a further report of it adds suspects. */
    public void recordCrash(CrashReport report, long nowMillis) {
        CrashReport all = crashes.containsKey(report.crashId())
                ? crashes.get(report.crashId()).fact().with(report)
                : report;
        put(crashes, report.crashId(), all, nowMillis);
        detector.recordCrash(report, instant(nowMillis));
    }

    /** Enters that the server of a crash gives a sign of life to this process. */
    public void recordSignOfLife(String crashId, long nowMillis) {
        crashes.remove(crashId);
        put(signsOfLife, crashId, instant(nowMillis), nowMillis);
        detector.recordSignOfLife(crashId, instant(nowMillis), instant(nowMillis));
    }

    /** Enters that this process has seen a request run to its end; returns whether it was in progress at a crash. */
    public boolean recordCompletion(String fingerprint, long nowMillis) {
        boolean suspected = detector.recordCompletion(fingerprint, instant(nowMillis));
        if (suspected) {
            put(clearances, fingerprint, instant(nowMillis), nowMillis);
        }
        return suspected;
    }

    /** Enters that an operator clears a request of all crashes so far. */
    public void clear(String fingerprint, long nowMillis) {
        put(clearances, fingerprint, instant(nowMillis), nowMillis);
        detector.clear(fingerprint, instant(nowMillis), instant(nowMillis));
    }

    /** What to tell the peers now. */
    public PoisonUpdate update(long nowMillis) {
        expire(crashes, nowMillis);
        expire(clearances, nowMillis);
        expire(signsOfLife, nowMillis);
        if (detector.isEmpty(instant(nowMillis))
                && crashes.isEmpty()
                && clearances.isEmpty()
                && signsOfLife.isEmpty()) {
            return PoisonUpdate.NONE;
        }
        Map<String, Long> refusals = detector.poisonRequests(instant(nowMillis)).stream()
                .limit(MAX_OTHERS)
                .collect(Collectors.toMap(
                        PoisonMark::fingerprint, mark -> mark.until().toEpochMilli() - nowMillis));
        return new PoisonUpdate(
                toldCrashes(nowMillis), refusals, ages(clearances, nowMillis), ages(signsOfLife, nowMillis));
    }

    private List<PoisonUpdate.ToldCrash> toldCrashes(long nowMillis) {
        List<PoisonUpdate.ToldCrash> told = new ArrayList<>();
        int room = MAX_SUSPECTS;
        for (Told<CrashReport> one : newestFirst(crashes)) {
            CrashReport report = one.fact();
            Set<String> suspects = mostSuspect(report, room);
            room -= suspects.size();
            if (!suspects.isEmpty()) {
                told.add(new PoisonUpdate.ToldCrash(
                        report.crashId(), nowMillis - report.at().toEpochMilli(), suspects));
            }
        }
        return told;
    }

    /** The suspects of a crash; those that were at most crashes if there is not room for all. */
    private Set<String> mostSuspect(CrashReport report, int room) {
        if (report.suspects().size() <= room) {
            return report.suspects();
        }
        Map<String, Integer> crashCounts = new HashMap<>();
        report.suspects()
                .forEach(suspect ->
                        crashCounts.put(suspect, detector.crashesOf(suspect).size()));
        Comparator<String> byCrashes = Comparator.comparing(crashCounts::get, Comparator.reverseOrder());
        return report.suspects().stream()
                .sorted(byCrashes.thenComparing(Comparator.naturalOrder()))
                .limit(room)
                .collect(Collectors.toSet());
    }

    private static <T> List<Told<T>> newestFirst(Map<String, Told<T>> facts) {
        List<Told<T>> all = new ArrayList<>(facts.values());
        Collections.reverse(all);
        return all;
    }

    private static Map<String, Long> ages(Map<String, Told<Instant>> facts, long nowMillis) {
        Map<String, Long> ages = new HashMap<>();
        facts.forEach((id, told) -> ages.put(id, nowMillis - told.fact().toEpochMilli()));
        return ages;
    }

    /**
     * Enters what a peer tells.
     *
     * @return the crashes that were news
     */
    public List<CrashReport> apply(PoisonUpdate update, long nowMillis) {
        update.signsOfLife()
                .forEach(
                        (crash, age) -> detector.recordSignOfLife(crash, instant(nowMillis - age), instant(nowMillis)));
        update.clearances()
                .forEach((request, age) -> detector.clear(request, instant(nowMillis - age), instant(nowMillis)));
        List<CrashReport> news = new ArrayList<>();
        for (PoisonUpdate.ToldCrash told : update.crashes()) {
            Instant at = instant(nowMillis - told.ageMillis() - PASSING_MILLIS);
            CrashReport report = new CrashReport(told.crashId(), at, told.suspects());
            if (!detector.isKnown(report) && detector.recordCrash(report, instant(nowMillis))) {
                news.add(report);
            }
        }
        update.refusals().forEach((request, millis) -> applyRefusal(request, millis, nowMillis));
        return news;
    }

    /** A peer that still refuses what was cleared has not heard of it, so it is told again. */
    private void applyRefusal(String fingerprint, long forMillis, long nowMillis) {
        Instant until = instant(nowMillis + forMillis - PASSING_MILLIS);
        PoisonMark mark = new PoisonMark(fingerprint, until);
        detector.addMark(mark, instant(nowMillis));
        detector.clearance(mark)
                .ifPresent(at -> clearances.computeIfAbsent(fingerprint, any -> new Told<>(at, nowMillis)));
    }

    private static <T> void put(Map<String, Told<T>> facts, String id, T fact, long nowMillis) {
        facts.remove(id);
        facts.put(id, new Told<>(fact, nowMillis));
        while (facts.size() > MAX_OTHERS) {
            facts.remove(facts.keySet().iterator().next());
        }
    }

    private static <T> void expire(Map<String, Told<T>> facts, long nowMillis) {
        facts.values().removeIf(told -> nowMillis - told.sinceMillis() > TELL_MILLIS);
    }
}
