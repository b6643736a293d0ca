package org.cornelramp.core.key;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cornelramp.core.call.AgentWord;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.model.OrganisationId;
import org.cornelramp.core.model.Problem;
import org.cornelramp.core.model.ProblemKind;

/**
 * The fold of the key stream: which incarnation each own key is bound to, and what stopped agents settled.
 *
 * <p>Every reader folds the same records in the same order, so all see the same binding. Confined to one thread.
 * Invariants: the first binding of a key in log order stays for as long as the key is young enough to be used; a key
 * is said to have never run only once all parts of its incarnation's settlement are there.
 */
public final class KeyIndex {
    private final Duration window;
    private final Map<Owned, Binding> bindings = new HashMap<>();
    private final Map<Incarnation, Settlement> settlements = new HashMap<>();
    private final Deque<Dated> byAge = new ArrayDeque<>();
    private long next;

    /**
     * The binding of a key.
     *
     * @param incarnation the only agent life that may run it
     * @param fingerprint fingerprint of the request that it was bound for
     * @param boundAt when the log took the record
     */
    public record Binding(Incarnation incarnation, String fingerprint, Instant boundAt) {}

    private record Owned(OrganisationId organisation, String key) {}

    private record Dated(Instant at, Optional<Owned> key, Optional<Incarnation> settled) {}

    /**
     * @param window age at which keys are refused, and so may be forgotten
     */
    public KeyIndex(Duration window) {
        this.window = window;
    }

    /** Offset of the next record to apply. */
    public long next() {
        return next;
    }

    /** Goes on from an offset, since the records before it are no longer kept. */
    public void skipTo(long offset) {
        next = Math.max(next, offset);
    }

    /**
     * Applies the record at {@link #next}; one in no known form counts as read.
     *
     * @param at when the log took it
     */
    public void apply(long offset, Instant at, Optional<KeyRecord> record) {
        if (offset != next) {
            throw new IllegalArgumentException("Records are applied in order; expected " + next + ", not " + offset);
        }
        next++;
        if (record.isPresent() && record.get() instanceof KeyRecord.Bind bind) {
            bind(bind, at);
        } else if (record.isPresent() && record.get() instanceof KeyRecord.Settled settled) {
            settle(settled, at);
        }
    }

    /** The binding of an organisation's key, if it has one. */
    public Optional<Binding> binding(OrganisationId organisation, String key) {
        return Optional.ofNullable(bindings.get(new Owned(organisation, key)));
    }

    /** Whether an incarnation has stopped as planned and settled all its keys. */
    public boolean isSettled(Incarnation incarnation) {
        Settlement settlement = settlements.get(incarnation);
        return settlement != null && settlement.isWhole();
    }

    /** The final word on a key of an incarnation that stopped as planned; empty if it did not. */
    public Optional<AgentWord> settled(Incarnation incarnation, String key) {
        if (!isSettled(incarnation)) {
            return Optional.empty();
        }
        AgentWord word = settlements.get(incarnation).results.get(key);
        return Optional.of(word != null ? word : neverRan());
    }

    /** Forgets what is so old that no key of it can be used any more. */
    public void expire(Instant now) {
        // A key may be bound up to one window after it was made, and its own clock may run ahead.
        Instant limit = now.minus(window.multipliedBy(2)).minus(IdempotencyKey.CLOCK_SKEW);
        while (!byAge.isEmpty() && byAge.peek().at().isBefore(limit)) {
            Dated old = byAge.poll();
            old.key().ifPresent(bindings::remove);
            old.settled().ifPresent(settlements::remove);
        }
    }

    /** Bindings held. */
    public int size() {
        return bindings.size();
    }

    private void bind(KeyRecord.Bind bind, Instant at) {
        Owned owned = new Owned(bind.organisation(), bind.key());
        Binding binding = new Binding(bind.incarnation(), bind.fingerprint(), at);
        if (bindings.putIfAbsent(owned, binding) == null) {
            byAge.add(new Dated(at, Optional.of(owned), Optional.empty()));
        }
    }

    private void settle(KeyRecord.Settled settled, Instant at) {
        Settlement settlement = settlements.computeIfAbsent(settled.incarnation(), key -> new Settlement());
        settlement.add(settled);
        byAge.add(new Dated(at, Optional.empty(), Optional.of(settled.incarnation())));
    }

    private static AgentWord neverRan() {
        return AgentWord.of(Problem.notRun(
                ProblemKind.KEY_SPENT, "The backend server that the key was bound to stopped and never ran it."));
    }

    private static final class Settlement {
        final Map<String, AgentWord> results = new HashMap<>();
        private final Set<Integer> came = new HashSet<>();
        private int parts = Integer.MAX_VALUE;

        void add(KeyRecord.Settled settled) {
            came.add(settled.part());
            parts = settled.parts();
            results.putAll(settled.results());
        }

        boolean isWhole() {
            return came.size() >= parts;
        }
    }
}
