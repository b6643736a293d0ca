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
 * The record of all keys that one incarnation of an agent has seen: why a call under a key takes effect at most once.
 *
 * <p>Confined to one thread; the present time is passed in. Invariants:
 * <ul>
 * <li>{@link KeyVerdict.Run} is given at most once for each key in the life of the ledger. A key that was seen is
 *     recorded until it is older than the window, and a key older than the window is refused, so forgetting it
 *     cannot let it run again.
 * <li>Time never goes back here: a wall clock that is set back would make a forgotten key look young. The latest
 *     time that was passed in counts.
 * <li>A key answered as not run never runs. A full ledger has no room to note that, so it raises a floor: any key
 *     that it does not hold and that was minted at or before the floor never runs either.
 * <li>Memory is bounded by the number of keys and the bytes of answers. A key whose answer was dropped still never
 *     runs again; its caller hears that the answer is no longer kept.
 * <li>A pause of any length changes nothing: what decides is this memory, not a lease that others may take over.
 *     A woken agent holds the same keys, and no other incarnation may run them.
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
    private Instant latest = Instant.MIN;
    private Instant floor = Instant.MIN;
    private long bytes;
    private int unsettled;

    /**
     * @param self the life that this ledger records
     * @param window age at which a key is refused
     * @param maxKeys most keys to hold
     * @param maxBytes most bytes of answers to hold; beyond, the oldest answers are dropped and their keys kept
     */
    public Ledger(Incarnation self, Duration window, int maxKeys, long maxBytes) {
        this.self = self;
        this.window = window;
        this.maxKeys = maxKeys;
        this.maxBytes = maxBytes;
    }

    /** Decides on a call; after {@link KeyVerdict.Run} the key is queued. */
    public KeyVerdict admit(KeyRequest request, Instant now) {
        Instant at = advance(now);
        if (!request.bound().equals(self)) {
            return new KeyVerdict.Settled(ofOtherLife(request.bound()));
        }
        Entry entry = entries.get(request.key());
        if (entry != null) {
            return repeat(entry, request);
        }
        if (isTooOld(request.minted(), at)) {
            return new KeyVerdict.Settled(KeyResult.unknown(ProblemKind.KEY_EXPIRED, TOO_OLD));
        }
        if (!request.minted().isAfter(floor)) {
            return new KeyVerdict.Settled(full());
        }
        if (isFull()) {
            floor = request.minted();
            return new KeyVerdict.Settled(full());
        }
        add(request, at);
        return new KeyVerdict.Run();
    }

    private KeyVerdict repeat(Entry entry, KeyRequest request) {
        boolean known = !entry.fingerprint.isEmpty() && !request.fingerprint().isEmpty();
        if (known && !entry.fingerprint.equals(request.fingerprint())) {
            return new KeyVerdict.Settled(KeyResult.notRun(
                    ProblemKind.KEY_REUSED, "The key was used for another request; this one did not run", 0));
        }
        if (entry.state.isSettled() && entry.result.outcome() == Outcome.NOT_RUN) {
            return new KeyVerdict.Settled(spent(entry.result));
        }
        return entry.verdict();
    }

    /** A refusal that asks its caller to wait would be asked for the same key for ever. */
    private static KeyResult spent(KeyResult first) {
        return KeyResult.notRun(ProblemKind.KEY_SPENT, "The call was refused before: " + first.detail(), 0);
    }

    /**
     * Says what became of a key, and with {@code cancel} sets one that has not started to never run. A key never
     * seen is noted as one that never will: its call may still be on the way on a link that the asker gave up.
     *
     * @param request the key; its fingerprint is empty, since only the key is asked for
     */
    public KeyVerdict settle(KeyRequest request, boolean cancel, Instant now) {
        Instant at = advance(now);
        if (!request.bound().equals(self)) {
            return new KeyVerdict.Settled(ofOtherLife(request.bound()));
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
        if (!request.minted().isAfter(floor)) {
            return new KeyVerdict.Settled(full());
        }
        if (isFull()) {
            floor = request.minted();
            return new KeyVerdict.Settled(full());
        }
        add(request, at);
        tombstone(request.key(), cancelled());
        return entries.get(request.key()).verdict();
    }

    /** Notes that a queued key is handed to the backend server; false if it is not queued, and then it must not be. */
    public boolean start(String key) {
        Entry entry = entries.get(key);
        if (entry == null || entry.state != KeyState.QUEUED) {
            return false;
        }
        entry.state = KeyState.STARTED;
        return true;
    }

    /** Notes how a started key ended. */
    public void finish(String key, KeyResult result) {
        Entry entry = entries.get(key);
        if (entry == null || entry.state != KeyState.STARTED) {
            throw new IllegalStateException("A key ended that was not started");
        }
        end(entry, KeyState.FINISHED, result);
    }

    /** Sets a queued key to never run; false if it has started or ended. */
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

    /** Forgets keys that are older than the window; they are refused from then on by their age. */
    public void expire(Instant now) {
        advance(now);
    }

    private Instant advance(Instant now) {
        if (now.isAfter(latest)) {
            latest = now;
        }
        Entry oldest = byExpiry.peek();
        while (oldest != null && oldest.expiry.isBefore(latest)) {
            byExpiry.remove();
            forget(oldest);
            oldest = byExpiry.peek();
        }
        return latest;
    }

    /** A key in progress is kept beyond its age: its call still ends here. */
    private void forget(Entry entry) {
        if (!entry.state.isSettled()) {
            entry.expiry = latest.plus(window);
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

    /** How far a key has come; empty if it is not held. */
    public Optional<KeyState> state(String key) {
        return Optional.ofNullable(entries.get(key)).map(entry -> entry.state);
    }

    /** The last word on a key that has one. */
    public Optional<KeyResult> result(String key) {
        return Optional.ofNullable(entries.get(key)).map(entry -> entry.result);
    }

    /** The settled keys with their last words, in no order. */
    public List<SettledKey> settled() {
        List<SettledKey> keys = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (entry.state.isSettled()) {
                keys.add(new SettledKey(entry.key, entry.result));
            }
        }
        return keys;
    }

    /** Keys held. */
    public int size() {
        return entries.size();
    }

    /** Bytes of results held. */
    public long bytes() {
        return bytes;
    }

    /** Whether each key held is settled. */
    public boolean isSettled() {
        return unsettled == 0;
    }

    private KeyResult ofOtherLife(Incarnation bound) {
        return KeyResult.unknown(
                ProblemKind.BACKEND_LOST, "The key is bound to " + bound + ", and this agent lives as " + self);
    }

    private static KeyResult cancelled() {
        return KeyResult.notRun(ProblemKind.BACKEND_LOST, "The call was cancelled before it started", 0);
    }

    private static KeyResult full() {
        return KeyResult.notRun(
                ProblemKind.OVERLOADED, "The agent has no room to remember another key; mint a new one later", 0);
    }

    /** A key with its last word. */
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
