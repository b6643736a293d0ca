package org.cornelramp.core.poison;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides what a process tells its peers about crashes and poison requests, and enters what they tell into its detector.
 * Owned by one thread.
 *
 * <p>Invariants: only the process that has seen a crash, a clearance or a sign of life tells it, so that none circulates
 * without end. A refusal is told by all that know it, so that a process which has just started learns it from any peer;
 * each passing on shortens it by more than an update takes, so that it ends all the same. An update has at most
 * {@value #MAX_SUSPECTS} suspects, of the newest crashes first, and {@value #MAX_OTHERS} entries of each other kind. Names
 * of parts of prompts, which callers choose, have at most {@value #MAX_PART_LETTERS} letters in each of these kinds.
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

    /** Most parts of prompts among the suspects; the rest of the room is for whole requests. */
    static final int MAX_PARTS = 64;

    /** As much as fingerprints take in the place of the parts. */
    static final int MAX_PART_LETTERS = 1_024;

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

    /**
     * Enters that runs of this process have shown requests or parts of prompts to be harmless.
     *
     * @param harmless times, by the name of a request or a part, before which it has caused no crash
     * @return those that are cleared of a crash by it
     */
    public Set<String> recordHarmless(Map<String, Long> harmless, long nowMillis) {
        Map<String, Instant> times = new HashMap<>();
        harmless.forEach((name, millis) -> times.put(name, instant(millis)));
        Set<String> cleared = detector.clear(times, instant(nowMillis));
        cleared.forEach(name -> put(clearances, name, times.get(name), nowMillis));
        return cleared;
    }

    /** Enters that an operator clears a request, or the parts of a group, of all crashes so far. */
    public void clear(String name, long nowMillis) {
        PromptParts.membersOf(name).forEach(suspect -> put(clearances, suspect, instant(nowMillis), nowMillis));
        detector.clear(name, instant(nowMillis), instant(nowMillis));
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
        return new PoisonUpdate(
                toldCrashes(nowMillis), refusals(nowMillis), ages(clearances, nowMillis), ages(signsOfLife, nowMillis));
    }

    private Map<String, Long> refusals(long nowMillis) {
        Map<String, Long> all = new LinkedHashMap<>();
        detector.poisonRequests(instant(nowMillis))
                .forEach(mark -> all.put(mark.fingerprint(), mark.until().toEpochMilli() - nowMillis));
        all.keySet().retainAll(fitting(all.keySet(), MAX_OTHERS));
        return all;
    }

    /** The first of some names for which there is room. */
    private static List<String> fitting(Collection<String> names, int most) {
        List<String> fitting = new ArrayList<>();
        int letters = 0;
        for (String name : names) {
            int more = PromptParts.isPart(name) ? name.length() : 0;
            if (fitting.size() < most && letters + more <= MAX_PART_LETTERS) {
                fitting.add(name);
                letters += more;
            }
        }
        return fitting;
    }

    private List<PoisonUpdate.ToldCrash> toldCrashes(long nowMillis) {
        List<CrashReport> reports =
                newestFirst(crashes).stream().map(Told::fact).toList();
        Map<String, Set<String>> told = new LinkedHashMap<>();
        reports.forEach(report -> told.put(report.crashId(), new HashSet<>()));
        int room = MAX_PARTS;
        int letters = MAX_PART_LETTERS;
        for (CrashReport report : reports) {
            for (String part : mostSuspect(report, true, room)) {
                if (part.length() <= letters) {
                    told.get(report.crashId()).add(part);
                    room--;
                    letters -= part.length();
                }
            }
        }
        room += MAX_SUSPECTS - MAX_PARTS;
        for (CrashReport report : reports) {
            List<String> requests = mostSuspect(report, false, room);
            told.get(report.crashId()).addAll(requests);
            room -= requests.size();
        }
        return reports.stream()
                .filter(report -> !told.get(report.crashId()).isEmpty())
                .map(report -> new PoisonUpdate.ToldCrash(
                        report.crashId(), nowMillis - report.at().toEpochMilli(), told.get(report.crashId())))
                .toList();
    }

    /**
     * The parts of prompts among the suspects of a crash, or the requests, without those that are cleared of it: a process
     * that has just started may not hear of the clearance. Those that were at most crashes if there is not room for all.
     */
    private List<String> mostSuspect(CrashReport report, boolean parts, int room) {
        List<String> all = report.suspects().stream()
                .filter(suspect -> PromptParts.isPart(suspect) == parts)
                .filter(suspect -> !detector.isCleared(suspect, report.at()))
                .toList();
        if (all.size() <= room) {
            return all;
        }
        Map<String, Integer> crashCounts = new HashMap<>();
        all.forEach(
                suspect -> crashCounts.put(suspect, detector.crashesOf(suspect).size()));
        Comparator<String> byCrashes = Comparator.comparing(crashCounts::get, Comparator.reverseOrder());
        return all.stream()
                .sorted(byCrashes.thenComparing(Comparator.naturalOrder()))
                .limit(room)
                .toList();
    }

    private static <T> List<Told<T>> newestFirst(Map<String, Told<T>> facts) {
        List<Told<T>> all = new ArrayList<>(facts.values());
        Collections.reverse(all);
        return all;
    }

    private static Map<String, Long> ages(Map<String, Told<Instant>> facts, long nowMillis) {
        Map<String, Long> ages = new HashMap<>();
        List<String> newest = new ArrayList<>(facts.keySet());
        Collections.reverse(newest);
        fitting(newest, MAX_OTHERS)
                .forEach(id -> ages.put(id, nowMillis - facts.get(id).fact().toEpochMilli()));
        return ages;
    }

    /**
     * What was news in an update. Immutable, safe for use by any thread.
     *
     * @param cleared the requests and parts that were at a crash here and are cleared of it
     */
    public record Applied(List<CrashReport> crashes, Set<String> cleared) {
        public Applied {
            crashes = List.copyOf(crashes);
            cleared = Set.copyOf(cleared);
        }
    }

    /** Enters what a peer tells; returns what of it was news. */
    public Applied apply(PoisonUpdate update, long nowMillis) {
        update.signsOfLife()
                .forEach(
                        (crash, age) -> detector.recordSignOfLife(crash, instant(nowMillis - age), instant(nowMillis)));
        Set<String> cleared = new HashSet<>();
        update.clearances().forEach((name, age) -> {
            Instant at = instant(nowMillis - age);
            if (detector.isOpenBefore(name, at)) {
                cleared.add(name);
            }
            detector.clear(name, at, instant(nowMillis));
        });
        List<CrashReport> news = new ArrayList<>();
        for (PoisonUpdate.ToldCrash told : update.crashes()) {
            Instant at = instant(nowMillis - told.ageMillis() - PASSING_MILLIS);
            CrashReport report = new CrashReport(told.crashId(), at, told.suspects());
            if (!detector.isKnown(report) && detector.recordCrash(report, instant(nowMillis))) {
                news.add(report);
            }
        }
        update.refusals().forEach((request, millis) -> applyRefusal(request, millis, nowMillis));
        return new Applied(news, cleared);
    }

    /** A peer that still refuses what was cleared has not heard of it, so it is told again. */
    private void applyRefusal(String name, long forMillis, long nowMillis) {
        Instant until = instant(nowMillis + forMillis - PASSING_MILLIS);
        PoisonMark mark = new PoisonMark(name, until);
        detector.addMark(mark, instant(nowMillis));
        detector.clearances(mark)
                .forEach((suspect, at) -> clearances.computeIfAbsent(suspect, any -> new Told<>(at, nowMillis)));
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
