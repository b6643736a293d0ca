package org.cornelramp.core.ledger;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.model.Outcome;
import org.cornelramp.core.model.ProblemKind;

/**
 * Records all keys that one incarnation of an agent has seen, so that a call with a key takes effect at most once.
 *
 * <p>Confined to one thread; the current time is passed in. Invariants:
 * <ul>
 * <li>{@link KeyVerdict.Run} is returned at most once for each key in the lifetime of the ledger. A key that was seen is
 *     recorded until it is older than the window, and a key older than the window is refused, so dropping its record
 *     cannot let it run again.
 * <li>Time never goes back: the latest time that was passed in counts. Otherwise a wall clock that is set back would make
 *     a key whose record was dropped appear young enough to run.
 * <li>A key answered as not run never runs. A full ledger has no room to record that, so it raises a floor: any key that
 *     it does not hold and that was minted at or before the floor never runs either.
 * <li>Memory is bounded by the number of keys and the bytes of answers. A key whose answer was dropped still never
 *     runs again; its caller is told that the answer is no longer kept.
 * <li>A pause of the process, however long, changes nothing: decisions rest on this record, not on a lease that others
 *     may take over. After the pause the agent holds the same keys, and no other incarnation may run them.
 * </ul>
 */
public final class Ledger {
    private static final String TOO_OLD = "The key is older than the window in which keys are remembered";

    private static final String DROPPED = "The call ran, and its answer is no longer kept";

    private final Incarnation self;
    private final Duration window;
    private final int maxKeys;
    private final long maxBytes;
    private final Map<String, Entry> entries = new HashMap<>();
    private final PriorityQueue<Entry> byExpiry = new PriorityQueue<>(Comparator.comparing((Entry e) -> e.expiry));
    private final Set<Entry> withBody = new LinkedHashSet<>();
    private Instant latestTime = Instant.MIN;
    private Instant refusalFloor = Instant.MIN;
    private long bytes;
    private int unsettled;

    /**
     * @param self the incarnation that this ledger belongs to
     * @param window age above which a key is refused
     * @param maxKeys maximum number of keys to hold
     * @param maxBytes maximum bytes of answers to hold; beyond it, the oldest answers are dropped and their keys kept
     */
    public Ledger(Incarnation self, Duration window, int maxKeys, long maxBytes) {
        this.self = self;
        this.window = window;
        this.maxKeys = maxKeys;
        this.maxBytes = maxBytes;
    }

    /** Decides on a call; if the result is {@link KeyVerdict.Run}, the key is queued. */
    public KeyVerdict admit(KeyRequest request, Instant now) {
        Instant at = advanceTime(now);
        if (!request.bound().equals(self)) {
            return new KeyVerdict.Settled(wrongIncarnation(request.bound()));
        }
        Entry entry = entries.get(request.key());
        if (entry != null) {
            return verdictForKnownKey(entry, request);
        }
        if (isTooOld(request.minted(), at)) {
            return new KeyVerdict.Settled(KeyResult.unknown(ProblemKind.KEY_EXPIRED, TOO_OLD));
        }
        if (!request.minted().isAfter(refusalFloor)) {
            return new KeyVerdict.Settled(ledgerFull());
        }
        if (isFull()) {
            refusalFloor = request.minted();
            return new KeyVerdict.Settled(ledgerFull());
        }
        add(request, at);
        return new KeyVerdict.Run();
    }

    private KeyVerdict verdictForKnownKey(Entry entry, KeyRequest request) {
        boolean comparable =
                !entry.fingerprint.isEmpty() && !request.fingerprint().isEmpty();
        if (comparable && !entry.fingerprint.equals(request.fingerprint())) {
            return new KeyVerdict.Settled(KeyResult.notRun(
                    ProblemKind.KEY_REUSED, "The key was used for another request; this one did not run", 0));
        }
        if (entry.state.isSettled() && entry.result.outcome() == Outcome.NOT_RUN) {
            return new KeyVerdict.Settled(alreadyRefused(entry.result));
        }
        return entry.verdict();
    }

    /**
     * The answer to a repeated key whose call did not run. It carries no retry-after time, since a caller that waits would
     * retry the same key forever.
     */
    private static KeyResult alreadyRefused(KeyResult first) {
        return KeyResult.notRun(ProblemKind.KEY_SPENT, "The call was refused before: " + first.detail(), 0);
    }

    /**
     * Returns the state of a key, and with {@code cancel} tombstones one that has not started. A key that was never seen is
     * tombstoned in any case, since its call may still be in transit on a link that the requester has abandoned.
     *
     * @param request the key; its fingerprint is empty, since only the key is queried
     */
    public KeyVerdict settle(KeyRequest request, boolean cancel, Instant now) {
        Instant at = advanceTime(now);
        if (!request.bound().equals(self)) {
            return new KeyVerdict.Settled(wrongIncarnation(request.bound()));
        }
        Entry entry = entries.get(request.key());
        if (entry == null) {
            return settleUnseen(request, at);
        }
        if (cancel && entry.state == KeyState.QUEUED) {
            tombstone(request.key(), cancelled());
        }
        return entry.verdict();
    }

    private KeyVerdict settleUnseen(KeyRequest request, Instant at) {
        if (isTooOld(request.minted(), at)) {
            return new KeyVerdict.Settled(KeyResult.unknown(ProblemKind.KEY_EXPIRED, TOO_OLD));
        }
        if (!request.minted().isAfter(refusalFloor)) {
            return new KeyVerdict.Settled(ledgerFull());
        }
        if (isFull()) {
            refusalFloor = request.minted();
            return new KeyVerdict.Settled(ledgerFull());
        }
        add(request, at);
        tombstone(request.key(), cancelled());
        return entries.get(request.key()).verdict();
    }

    /** Marks a queued key as handed to the backend server; if this returns false, the call must not be handed over. */
    public boolean start(String key) {
        Entry entry = entries.get(key);
        if (entry == null || entry.state != KeyState.QUEUED) {
            return false;
        }
        entry.state = KeyState.STARTED;
        return true;
    }

    /**
     * Records the result of a started key.
     *
     * @throws IllegalStateException if the key is not in the state {@link KeyState#STARTED}
     */
    public void finish(String key, KeyResult result) {
        Entry entry = entries.get(key);
        if (entry == null || entry.state != KeyState.STARTED) {
            throw new IllegalStateException("Only a started key can be finished");
        }
        end(entry, KeyState.FINISHED, result);
    }

    /** Marks a queued key so that it never runs; returns false if it is not queued. */
    public boolean tombstone(String key, KeyResult result) {
        Entry entry = entries.get(key);
        if (entry == null || entry.state != KeyState.QUEUED) {
            return false;
        }
        end(entry, KeyState.TOMBSTONED, result);
        return true;
    }

    private void end(Entry entry, KeyState state, KeyResult result) {
        entry.state = state;
        entry.result = result;
        unsettled--;
        if (result.body().length > 0) {
            bytes += result.body().length;
            withBody.add(entry);
            dropOldAnswers();
        }
    }

    private void dropOldAnswers() {
        while (bytes > maxBytes) {
            Entry oldest = withBody.iterator().next();
            withBody.remove(oldest);
            bytes -= oldest.result.body().length;
            oldest.result = KeyResult.unknown(ProblemKind.KEY_EXPIRED, DROPPED);
        }
    }

    /** Drops the records of keys that are older than the window; from then on those keys are refused for their age. */
    public void expire(Instant now) {
        advanceTime(now);
    }

    private Instant advanceTime(Instant now) {
        if (now.isAfter(latestTime)) {
            latestTime = now;
        }
        Entry oldest = byExpiry.peek();
        while (oldest != null && oldest.expiry.isBefore(latestTime)) {
            byExpiry.remove();
            dropRecord(oldest);
            oldest = byExpiry.peek();
        }
        return latestTime;
    }

    /** Drops the record of a key. One that is not settled is kept for another window, since its result is still pending. */
    private void dropRecord(Entry entry) {
        if (!entry.state.isSettled()) {
            entry.expiry = latestTime.plus(window);
            byExpiry.add(entry);
            return;
        }
        entries.remove(entry.key);
        if (entry.result.body().length > 0) {
            bytes -= entry.result.body().length;
            withBody.remove(entry);
        }
    }

    private boolean isTooOld(Instant minted, Instant at) {
        return minted.plus(window).isBefore(at);
    }

    private boolean isFull() {
        return entries.size() >= maxKeys;
    }

    private void add(KeyRequest request, Instant at) {
        Instant from = request.minted().isAfter(at) ? request.minted() : at;
        Entry entry = new Entry(request.key(), request.fingerprint(), from.plus(window));
        entries.put(entry.key, entry);
        byExpiry.add(entry);
        unsettled++;
    }

    /** The state of a key; empty if it is not held. */
    public Optional<KeyState> state(String key) {
        return Optional.ofNullable(entries.get(key)).map(entry -> entry.state);
    }

    /** The result of a key; empty if it is not held or not settled. */
    public Optional<KeyResult> result(String key) {
        return Optional.ofNullable(entries.get(key)).map(entry -> entry.result);
    }

    /** The settled keys with their results, in no particular order. */
    public List<SettledKey> settled() {
        List<SettledKey> keys = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (entry.state.isSettled()) {
                keys.add(new SettledKey(entry.key, entry.result));
            }
        }
        return keys;
    }

    /** Number of keys held. */
    public int size() {
        return entries.size();
    }

    /** Bytes of answers held. */
    public long bytes() {
        return bytes;
    }

    /** Whether every key held is settled. */
    public boolean isSettled() {
        return unsettled == 0;
    }

    private KeyResult wrongIncarnation(Incarnation bound) {
        return KeyResult.unknown(
                ProblemKind.BACKEND_LOST, "The key is bound to " + bound + ", but this agent runs as " + self);
    }

    private static KeyResult cancelled() {
        return KeyResult.notRun(ProblemKind.BACKEND_LOST, "The call was cancelled before it started", 0);
    }

    private static KeyResult ledgerFull() {
        return KeyResult.notRun(
                ProblemKind.OVERLOADED, "The agent has no room to remember another key; mint a new one later", 0);
    }

    /** A key with its final result. */
    public record SettledKey(String key, KeyResult result) {}

    private static final class Entry {
        final String key;
        final String fingerprint;
        Instant expiry;
        KeyState state;
        KeyResult result;

        Entry(String key, String fingerprint, Instant expiry) {
            this.key = key;
            this.fingerprint = fingerprint;
            this.expiry = expiry;
            this.state = KeyState.QUEUED;
        }

        KeyVerdict verdict() {
            return state.isSettled() ? new KeyVerdict.Settled(result) : new KeyVerdict.Wait(state);
        }
    }
}
