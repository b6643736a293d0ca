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
import org.cornelramp.core.call.AgentReply;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.model.OrganisationId;
import org.cornelramp.core.model.Problem;
import org.cornelramp.core.model.ProblemKind;

/**
 * An index built from the key stream of the log: which incarnation each caller-generated key is bound to, and what stopped
 * agents settled.
 *
 * <p>Every reader applies the same records in the same order, so all see the same bindings. Confined to one thread.
 * Invariants: the first binding of a key in log order holds for as long as the key is young enough to be used; a key is
 * reported as never run only once all parts of its incarnation's settlement have been read.
 */
public final class KeyIndex {
    private final Duration window;
    private final Map<OrganisationKey, Binding> bindings = new HashMap<>();
    private final Map<Incarnation, Settlement> settlements = new HashMap<>();
    private final Deque<ExpiryEntry> byAge = new ArrayDeque<>();
    private long nextOffset;

    /**
     * The binding of a key.
     *
     * @param incarnation the only agent incarnation that may run it
     * @param fingerprint fingerprint of the request that it was bound for
     * @param boundAt when the log accepted the record
     */
    public record Binding(Incarnation incarnation, String fingerprint, Instant boundAt) {}

    private record OrganisationKey(OrganisationId organisation, String key) {}

    private record ExpiryEntry(Instant at, Optional<OrganisationKey> key, Optional<Incarnation> settled) {}

    /**
     * @param window age above which keys are refused, so that their records may be dropped
     */
    public KeyIndex(Duration window) {
        this.window = window;
    }

    /** Offset of the next record to apply. */
    public long nextOffset() {
        return nextOffset;
    }

    /** Skips to an offset because the log no longer holds the records before it; never moves back. */
    public void skipTo(long offset) {
        nextOffset = Math.max(nextOffset, offset);
    }

    /**
     * Applies the record at offset {@link #nextOffset}.
     *
     * @param at when the log accepted the record
     * @param record the record; empty if it is in no known form, in which case it is skipped
     * @throws IllegalArgumentException if the offset is not the next one
     */
    public void apply(long offset, Instant at, Optional<KeyRecord> record) {
        if (offset != nextOffset) {
            throw new IllegalArgumentException(
                    "Records must be applied in order; expected=" + nextOffset + " offset=" + offset);
        }
        nextOffset++;
        if (record.isPresent() && record.get() instanceof KeyRecord.Bind bind) {
            bind(bind, at);
        } else if (record.isPresent() && record.get() instanceof KeyRecord.Settled settled) {
            settle(settled, at);
        }
    }

    /** The binding of an organisation's key; empty if it has none. */
    public Optional<Binding> binding(OrganisationId organisation, String key) {
        return Optional.ofNullable(bindings.get(new OrganisationKey(organisation, key)));
    }

    /** Whether an incarnation has stopped as planned and all parts of its settlement have been read. */
    public boolean isSettled(Incarnation incarnation) {
        Settlement settlement = settlements.get(incarnation);
        return settlement != null && settlement.isComplete();
    }

    /** The final result of a key of an incarnation that stopped as planned; empty if it has not settled its keys. */
    public Optional<AgentReply> settledReply(Incarnation incarnation, String key) {
        if (!isSettled(incarnation)) {
            return Optional.empty();
        }
        AgentReply reply = settlements.get(incarnation).results.get(key);
        return Optional.of(reply != null ? reply : notRun());
    }

    /** Drops bindings and settlements that are so old that none of their keys is accepted any more. */
    public void expire(Instant now) {
        // A key may be bound up to one window after its creation, and the clock of its creator may be ahead.
        Instant limit = now.minus(window.multipliedBy(2)).minus(IdempotencyKey.CLOCK_SKEW);
        while (!byAge.isEmpty() && byAge.peek().at().isBefore(limit)) {
            ExpiryEntry oldest = byAge.poll();
            oldest.key().ifPresent(bindings::remove);
            oldest.settled().ifPresent(settlements::remove);
        }
    }

    /** Number of bindings held. */
    public int size() {
        return bindings.size();
    }

    private void bind(KeyRecord.Bind bind, Instant at) {
        OrganisationKey organisationKey = new OrganisationKey(bind.organisation(), bind.key());
        Binding binding = new Binding(bind.incarnation(), bind.fingerprint(), at);
        if (bindings.putIfAbsent(organisationKey, binding) == null) {
            byAge.add(new ExpiryEntry(at, Optional.of(organisationKey), Optional.empty()));
        }
    }

    private void settle(KeyRecord.Settled settled, Instant at) {
        Settlement settlement = settlements.computeIfAbsent(settled.incarnation(), key -> new Settlement());
        settlement.add(settled);
        byAge.add(new ExpiryEntry(at, Optional.empty(), Optional.of(settled.incarnation())));
    }

    /** The result of a key that a complete settlement does not list. */
    private static AgentReply notRun() {
        return AgentReply.of(Problem.notRun(
                ProblemKind.KEY_SPENT, "The backend server that the key was bound to stopped and never ran it."));
    }

    private static final class Settlement {
        final Map<String, AgentReply> results = new HashMap<>();
        private final Set<Integer> partsRead = new HashSet<>();
        private int parts = Integer.MAX_VALUE;

        void add(KeyRecord.Settled settled) {
            partsRead.add(settled.part());
            parts = settled.parts();
            results.putAll(settled.results());
        }

        boolean isComplete() {
            return partsRead.size() >= parts;
        }
    }
}
