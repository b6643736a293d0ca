package org.cornelramp.core.poison;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cornelramp.core.poison.PartRefusals.OpenCrash;

/**
 * Detects poison requests, which crash the backend servers that run them, and parts of prompts that make each request
 * that holds them do so, so that they are refused.
 *
 * <p>Crash reports arrive from heartbeats and from the log, late, in any order and more than once; two processes with
 * the same reports refuse the same requests. A report expires after the retention time, and with it the refusals that
 * it caused. A refusal learnt from a peer keeps its expiry time, so that processes do not prolong it by passing it on.
 * A clearance ends the suspicion for all crashes before it. Owned by one thread; holds at most the given number of
 * reports, as many refusals of peers, {@value #MAX_MARKS} of them of parts, and {@value #MAX_CLEARANCES} clearances, and drops the oldest.
 */
public final class PoisonDetector {
    /** Most poison requests that one heartbeat carries. */
    public static final int MAX_MARKS = 48;

    private static final int MAX_CLEARANCES = 1_024;

    static final Comparator<CrashReport> BY_TIME =
            Comparator.comparing(CrashReport::at).thenComparing(CrashReport::crashId);

    private final Duration retention;
    private final int maxReports;
    private final BlameThresholds thresholds;
    private final Map<String, CrashReport> reports = new HashMap<>();

    /** When a report was last added to, by the id of its crash. */
    private final Map<String, Instant> changeTimes = new HashMap<>();

    /** When a request or a part was cleared of the crashes before, by a run or by an operator. */
    private final Map<String, Instant> clearances = new LinkedHashMap<>();

    /** When a server that was reported as crashed has given a sign of life, by the id of the crash. */
    private final Map<String, Instant> signsOfLife = new LinkedHashMap<>();

    private final Map<String, Instant> peerMarks = new HashMap<>();
    private CrashAnalysis analysis;
    private SortedSet<String> suspects = Collections.emptySortedSet();
    private PartRefusals partRefusals = PartRefusals.NONE;

    /** When a report or a refusal expires, or a report settles. */
    private Instant nextChange = Instant.MAX;

    /**
     * @param retention retention time of a crash report, from the time of the crash
     * @param maxReports most crash reports held
     * @param thresholds from how many crashes on a request is blamed
     */
    public PoisonDetector(Duration retention, int maxReports, BlameThresholds thresholds) {
        this.retention = retention;
        this.maxReports = maxReports;
        this.thresholds = thresholds;
        this.analysis = CrashAnalysis.analyse(List.of(), thresholds);
    }

    /** Returns an instance with a retention time of ten minutes and at most 256 reports. */
    public static PoisonDetector standard(BlameThresholds thresholds) {
        return new PoisonDetector(Duration.ofMinutes(10), 256, thresholds);
    }

    /** Whether nothing is known of any crash or poison request, so that no request needs to be identified. */
    public boolean isEmpty(Instant now) {
        removeExpired(now);
        return reports.isEmpty() && peerMarks.isEmpty();
    }

    /** Whether a report of the crash with these suspects is held, or is known to be wrong. */
    public boolean isKnown(CrashReport report) {
        CrashReport known = reports.get(report.crashId());
        return isRefuted(report) || (known != null && known.suspects().containsAll(report.suspects()));
    }

    private boolean isRefuted(CrashReport report) {
        return signsOfLife.getOrDefault(report.crashId(), Instant.MIN).isAfter(report.at());
    }

    /** Adds a crash report; a repeated one changes nothing. Returns whether the report added any information. */
    public boolean recordCrash(CrashReport report, Instant now) {
        if (!report.at().plus(retention).isAfter(now) || isRefuted(report)) {
            return false;
        }
        CrashReport before = reports.get(report.crashId());
        CrashReport after = before == null ? report : before.with(report);
        if (after.equals(before)) {
            return false;
        }
        reports.put(after.crashId(), after);
        changeTimes.put(after.crashId(), now);
        if (reports.size() > maxReports) {
            reports.remove(reports.values().stream().min(BY_TIME).orElseThrow().crashId());
        }
        analyse(now);
        return reports.containsKey(after.crashId());
    }

    /**
     * Records that a server which was reported as crashed has given a sign of life, so that its crash was none. Returns
     * whether a report is dropped for it.
     */
    public boolean recordSignOfLife(String crashId, Instant at, Instant now) {
        signsOfLife.merge(crashId, at, PoisonDetector::later);
        removeOldest(signsOfLife, maxReports);
        CrashReport known = reports.get(crashId);
        boolean refuted = known != null && isRefuted(known);
        if (refuted) {
            reports.remove(crashId);
            analyse(now);
        }
        return refuted;
    }

    /**
     * Records that a request ran to completion, and therefore did not cause the crashes so far. Without this, a request
     * that many callers send identically would be a suspect of most crashes, whatever their cause.
     *
     * @return whether the request was in progress at a crash
     */
    public boolean recordCompletion(String fingerprint, Instant now) {
        boolean known = reports.values().stream().anyMatch(r -> r.suspects().contains(fingerprint));
        if (known) {
            clear(fingerprint, now, now);
        }
        return known;
    }

    /**
     * Clears a request, a part or each part of a group of all crashes before a time, and ends its refusal; returns whether
     * that changes anything.
     */
    public boolean clear(String name, Instant at, Instant now) {
        boolean changed = false;
        for (String suspect : PromptParts.membersOf(name)) {
            changed |= putClearance(suspect, at);
        }
        if (changed) {
            analyse(now);
        }
        return changed;
    }

    /**
     * Clears requests and parts of prompts of the crashes before a time.
     *
     * @param times when the one of a name is cleared
     * @return those that were at such a crash, and not cleared of it
     */
    public Set<String> clear(Map<String, Instant> times, Instant now) {
        Set<String> cleared = new TreeSet<>();
        for (String name : suspectsAmong(times.keySet())) {
            Instant at = times.get(name);
            if (isOpenBefore(name, at) && putClearance(name, at)) {
                cleared.add(name);
            }
        }
        if (!cleared.isEmpty()) {
            analyse(now);
        }
        return cleared;
    }

    private Set<String> suspectsAmong(Set<String> names) {
        return reports.values().stream()
                .flatMap(report -> report.suspects().stream())
                .filter(names::contains)
                .collect(Collectors.toSet());
    }

    /** Whether a suspect was at a crash before a time and is not cleared of it. */
    boolean isOpenBefore(String suspect, Instant at) {
        return reports.values().stream()
                .anyMatch(r ->
                        r.suspects().contains(suspect) && at.isAfter(r.at()) && !isSuspectCleared(suspect, r.at()));
    }

    private boolean putClearance(String suspect, Instant at) {
        if (!at.isAfter(clearances.getOrDefault(suspect, Instant.MIN))) {
            return false;
        }
        clearances.remove(suspect);
        clearances.put(suspect, at);
        removeOldest(clearances, MAX_CLEARANCES);
        return true;
    }

    /** Whether a request, or each part of a group, is cleared of a crash. */
    boolean isCleared(String name, Instant crash) {
        if (!PromptParts.isPart(name)) {
            return isSuspectCleared(name, crash);
        }
        return PromptParts.membersOf(name).stream().allMatch(part -> isSuspectCleared(part, crash));
    }

    private boolean isSuspectCleared(String suspect, Instant crash) {
        return clearances.getOrDefault(suspect, Instant.MIN).isAfter(crash);
    }

    static Instant later(Instant one, Instant other) {
        return one.isAfter(other) ? one : other;
    }

    private static void removeOldest(Map<String, Instant> map, int maxSize) {
        while (map.size() > maxSize) {
            map.remove(map.keySet().iterator().next());
        }
    }

    /** Adds the {@link #marks} of a peer; marks that cannot be parsed are ignored. */
    public void addMarks(Collection<String> marks, Instant now) {
        for (String mark : marks) {
            PoisonMark.parse(mark).ifPresent(m -> addMark(m, now));
        }
    }

    /** Adds a refusal of a peer; returns whether the request was not refused before. */
    public boolean addMark(PoisonMark mark, Instant now) {
        // A peer whose clock is ahead must not extend a refusal beyond the retention time.
        Instant latest = now.plus(retention);
        Instant until = mark.until().isBefore(latest) ? mark.until() : latest;
        boolean refused = isPoison(mark.fingerprint(), now);
        if (!until.isAfter(now) || isCleared(mark.fingerprint(), until.minus(retention))) {
            return false;
        }
        peerMarks.values().removeIf(t -> !t.isAfter(now));
        if (hasRoom(mark.fingerprint())) {
            boolean news = peerMarks.put(mark.fingerprint(), later(until, peerMark(mark.fingerprint()))) == null;
            nextChange = nextChange.isBefore(until) ? nextChange : until;
            if (news && PromptParts.isPart(mark.fingerprint())) {
                analyse(now);
            }
        }
        return !refused && isPoison(mark.fingerprint(), now);
    }

    private boolean hasRoom(String name) {
        boolean room = peerMarks.size() < maxReports;
        if (room && PromptParts.isPart(name)) {
            return peerMarks.keySet().stream().filter(PromptParts::isPart).count() < MAX_MARKS;
        }
        return room;
    }

    private Instant peerMark(String name) {
        return peerMarks.getOrDefault(name, Instant.MIN);
    }

    /** When the suspects of a refusal were cleared of the crashes that it stands on; without those that were not. */
    public Map<String, Instant> clearances(PoisonMark mark) {
        Map<String, Instant> cleared = new HashMap<>();
        for (String suspect : PromptParts.membersOf(mark.fingerprint())) {
            if (isSuspectCleared(suspect, mark.until().minus(retention))) {
                cleared.put(suspect, clearances.get(suspect));
            }
        }
        return cleared;
    }

    /** The refusal of a request that holds these parts of prompts; empty if it is not refused for them. */
    public Optional<PoisonMark> refusalOfParts(Set<String> parts, Instant now) {
        removeExpired(now);
        return partRefusals.refusing(parts);
    }

    /** Parts of prompts that were at a crash and are not cleared of it. */
    public Set<String> unclearedParts(Instant now) {
        removeExpired(now);
        return partRefusals.uncleared();
    }

    /** Whether a request is refused as poison; its caller gets the final answer at once. */
    public boolean isPoison(String fingerprint, Instant now) {
        removeExpired(now);
        return isBlamed(fingerprint, now) || (peerMark(fingerprint).isAfter(now) && needsPeers(fingerprint));
    }

    private boolean isBlamed(String fingerprint, Instant now) {
        return analysis.culprits().contains(fingerprint) && isSettled(fingerprint, now);
    }

    /**
     * Whether the reports held here cannot tell that a request is to blame, so that a peer's refusal decides. Where they
     * can, a peer that knows fewer of them may refuse an innocent request.
     */
    private boolean needsPeers(String fingerprint) {
        return crashesOf(fingerprint).size() < thresholds.crashes();
    }

    /** Whether all processes have had the time to report what they know of the crashes of a request. */
    public boolean isSettled(String fingerprint, Instant now) {
        return reports.values().stream()
                .filter(r -> r.suspects().contains(fingerprint))
                .allMatch(r -> !settlingEnd(r).isAfter(now));
    }

    /** Ids of the crashes at which a request, or each part of a group, was in progress. */
    public List<String> crashesOf(String name) {
        Set<String> members = PromptParts.membersOf(name);
        return reports.values().stream()
                .filter(r -> r.suspects().containsAll(members))
                .sorted(BY_TIME)
                .map(CrashReport::crashId)
                .toList();
    }

    /** Number of crashes that a request may have caused and no other poison request explains. */
    public int unexplainedCrashes(String fingerprint, Instant now) {
        removeExpired(now);
        return analysis.unexplainedCrashes(fingerprint);
    }

    /** Whether a request may turn out to be a poison request by the next crash, or by further reports of known ones. */
    public boolean isSuspect(String fingerprint, Instant now) {
        return suspects(now).contains(fingerprint);
    }

    /** The requests that may turn out to be poison requests by the next crash, or by further reports of known ones. */
    public SortedSet<String> suspects(Instant now) {
        removeExpired(now);
        return Collections.unmodifiableSortedSet(suspects);
    }

    /** Whether a crash after a time is reported. */
    public boolean isReported(String crashId, Instant since) {
        CrashReport report = reports.get(crashId);
        return report != null && report.at().isAfter(since);
    }

    /**
     * Whether a request may start on a backend server beside those in progress there. Two suspects never run on one
     * server at the same time, as another crash would again not show which of them caused it.
     */
    public boolean mayRunBeside(String fingerprint, Collection<String> inProgress, Instant now) {
        return !isSuspect(fingerprint, now) || inProgress.stream().noneMatch(f -> isSuspect(f, now));
    }

    /** Returns the poison requests in the form that heartbeats carry, those with the latest expiry first. */
    public List<String> marks(Instant now) {
        return poisonRequests(now).stream().map(PoisonMark::toString).toList();
    }

    /** Returns the poison requests and parts, those with the latest expiry first, at most {@value #MAX_MARKS}. */
    public List<PoisonMark> poisonRequests(Instant now) {
        removeExpired(now);
        Map<String, Instant> all = new HashMap<>(peerMarks);
        all.keySet().removeIf(f -> PromptParts.isPart(f) || !needsPeers(f));
        all.putAll(partRefusals.ends());
        analysis.culprits().stream()
                .filter(f -> isBlamed(f, now))
                .forEach(f -> all.merge(f, expiry(f), PoisonDetector::later));
        return all.entrySet().stream()
                .filter(e -> e.getValue().isAfter(now))
                .map(e -> new PoisonMark(e.getKey(), e.getValue()))
                .sorted(Comparator.comparing(PoisonMark::until).reversed().thenComparing(PoisonMark::fingerprint))
                .limit(MAX_MARKS)
                .toList();
    }

    /** Returns the crash reports after a time in the form that heartbeats carry, for peers that do not read the log. */
    public List<String> reportsSince(Instant since) {
        return reports.values().stream()
                .filter(r -> r.at().isAfter(since))
                .sorted(BY_TIME)
                .map(CrashReport::toString)
                .toList();
    }

    private Instant expiry(String fingerprint) {
        return reports.values().stream()
                .filter(r -> r.suspects().contains(fingerprint))
                .map(r -> r.at().plus(retention))
                .max(Comparator.naturalOrder())
                .orElse(Instant.MIN);
    }

    private void removeExpired(Instant now) {
        if (!nextChange.isAfter(now)) {
            analyse(now);
        }
    }

    private void analyse(Instant now) {
        reports.values().removeIf(r -> !r.at().plus(retention).isAfter(now));
        changeTimes.keySet().retainAll(reports.keySet());
        peerMarks
                .entrySet()
                .removeIf(m -> !m.getValue().isAfter(now)
                        || isCleared(m.getKey(), m.getValue().minus(retention)));
        clearances.values().removeIf(t -> !t.plus(retention).isAfter(now));
        signsOfLife.values().removeIf(t -> !t.plus(retention).isAfter(now));
        List<OpenCrash> crashes =
                reports.values().stream().map(r -> openCrash(r, now)).toList();
        partRefusals = PartRefusals.of(crashes, peerMarksOfParts(), thresholds, retention);
        analysis = CrashAnalysis.analyse(requestsAtCrashes(crashes), thresholds);
        suspects = new TreeSet<>(analysis.suspects());
        if (!thresholds.settling().isZero()) {
            suspects.addAll(analysis.culprits()); // until they are settled
        }
        nextChange = nextChange(now);
    }

    private OpenCrash openCrash(CrashReport report, Instant now) {
        Set<String> open = new TreeSet<>(report.suspects());
        open.removeIf(suspect -> isSuspectCleared(suspect, report.at()));
        return new OpenCrash(report, open, !settlingEnd(report).isAfter(now));
    }

    private Instant settlingEnd(CrashReport report) {
        return changeTimes.get(report.crashId()).plus(thresholds.settling());
    }

    /** What peers refuse of parts, without those that are cleared. */
    private List<PoisonMark> peerMarksOfParts() {
        return peerMarks.entrySet().stream()
                .filter(mark -> PromptParts.isPart(mark.getKey()))
                .map(mark -> new PoisonMark(mark.getKey(), mark.getValue()))
                .flatMap(mark -> PartRefusals.without(clearances(mark).keySet(), mark).stream())
                .toList();
    }

    /** The requests at each crash that no part of their prompts explains. */
    private List<Set<String>> requestsAtCrashes(List<OpenCrash> crashes) {
        List<Set<String>> requests = new ArrayList<>();
        for (OpenCrash crash : crashes) {
            if (!partRefusals.explains(crash.suspects())) {
                requests.add(crash.suspects().stream()
                        .filter(suspect -> !PromptParts.isPart(suspect))
                        .collect(Collectors.toSet()));
            }
        }
        return requests;
    }

    private Instant nextChange(Instant now) {
        Stream<Instant> expiries = reports.values().stream().map(r -> r.at().plus(retention));
        Stream<Instant> settlings =
                reports.values().stream().map(this::settlingEnd).filter(end -> end.isAfter(now));
        return Stream.of(expiries, settlings, peerMarks.values().stream())
                .flatMap(times -> times)
                .min(Comparator.naturalOrder())
                .orElse(Instant.MAX);
    }
}
