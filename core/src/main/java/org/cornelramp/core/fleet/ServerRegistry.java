package org.cornelramp.core.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cornelramp.core.model.BackendServerId;

/**
 * The backend servers registered in the platform's store, as far as this process has read.
 *
 * <p>A server may start again under the name that it had. Its new life is another server with another id: whatever was
 * believed of the old one, that it leaves or is being removed for instance, ends with it.
 *
 * <p>Records may be read more than once and pages out of order; the offset of each record decides, so an older one
 * never undoes a newer. Owned by one thread.
 *
 * <p>While the store is down, registrations run out although their servers live and serve. Removing them at once
 * would leave requests without any server just when the store returns; therefore a removal that is read within
 * {@link #RETURN_MILLIS} of an outage takes effect only after that time, unless the server registers again before.
 */
public final class ServerRegistry {
    /** Registrations that ran out during an outage are back within two seconds; half a second for reading them. */
    public static final long RETURN_MILLIS = 2_500;

    /** By the name that a server keeps over its lives. */
    private final Map<BackendServerId, Entry> entries = new HashMap<>();

    /** By the id of the life. */
    private final Map<BackendServerId, Entry> lives = new HashMap<>();

    private final Map<BackendServerId, Long> removed = new HashMap<>();
    private final EndedLives ended = new EndedLives();

    /** Registrations of a restored store that are not used before they are confirmed, by name. */
    private final Map<BackendServerId, Unconfirmed> unconfirmed = new HashMap<>();

    /** Offsets below it may be of the copy from which the store was restored. */
    private long inheritedEnd;

    private boolean connected = true;
    private long connectedAt = Long.MIN_VALUE / 2;

    private static final class Entry {
        private BackendServer server;
        private long offset;
        private long removeAtMillis = Long.MAX_VALUE;
        private long leavingSinceMillis = Long.MAX_VALUE;
        /** Whether the store was restored since the life began to leave. */
        private boolean leavesForGood;

        private void forgetOffset() {
            offset = -1;
            leavesForGood |= leavingSinceMillis != Long.MAX_VALUE;
        }
    }

    private record Unconfirmed(Registration record, long untilMillis) {}

    /**
     * One record of the registrations. Immutable, safe for use by any thread.
     *
     * @param offset place of the record; higher is newer
     * @param name the server that it is about
     * @param server what it says; empty if the registration was removed, or names no server that can be used
     */
    public record Registration(long offset, BackendServerId name, Optional<BackendServer> server) {}

    /** Takes one record; true if it changed anything. */
    public boolean apply(Registration record, long nowMillis) {
        Entry known = entries.get(record.name());
        if (record.offset() <= removed.getOrDefault(record.name(), -1L)
                || (known != null && record.offset() <= known.offset)
                || isUnconfirmed(record)) {
            return false;
        }
        if (record.server().isEmpty()) {
            return remove(record, nowMillis);
        }
        unconfirmed.remove(record.name());
        if (record.offset() < inheritedEnd
                && ended.isReplaced(record.server().get().id())) {
            return false;
        }
        return register(record, nowMillis);
    }

    /** Whether it is a record that waits for its confirmation, read again. */
    private boolean isUnconfirmed(Registration record) {
        Unconfirmed waiting = unconfirmed.get(record.name());
        return waiting != null && record.offset() <= waiting.record().offset();
    }

    private boolean register(Registration record, long nowMillis) {
        Entry known = entries.get(record.name());
        BackendServer server = record.server().orElseThrow();
        if (known != null && !known.server.id().equals(server.id())) {
            endLife(known);
        }
        Entry entry = entries.computeIfAbsent(record.name(), name -> new Entry());
        lives.put(server.id(), entry);
        ended.returned(server.id());
        BackendServer now = entry.leavesForGood ? server.withState(ServerState.DRAINING) : server;
        boolean changed = !now.equals(entry.server) || entry.removeAtMillis != Long.MAX_VALUE;
        entry.server = now;
        entry.offset = record.offset();
        entry.removeAtMillis = Long.MAX_VALUE;
        boolean leaves = !entry.server.state().takesWork();
        entry.leavingSinceMillis = leaves ? Math.min(entry.leavingSinceMillis, nowMillis) : Long.MAX_VALUE;
        return changed;
    }

    private void endLife(Entry old) {
        forget(old);
        ended.replaced(old.server.id());
    }

    private void forget(Entry entry) {
        entries.remove(entry.server.name());
        lives.remove(entry.server.id());
        ended.removed(entry.server.id());
    }

    /**
     * Takes the newest record of every server at once; whoever is not among them has gone.
     *
     * @param records the records
     * @param end offset from which records may be missing here
     */
    public boolean replaceAll(Collection<Registration> records, long end, long nowMillis) {
        boolean changed = false;
        Map<BackendServerId, Registration> newest = new HashMap<>();
        for (Registration record : records) {
            newest.put(record.name(), record);
            changed |= apply(record, nowMillis);
        }
        unconfirmed.keySet().retainAll(newest.keySet());
        for (BackendServerId name : List.copyOf(entries.keySet())) {
            if (!newest.containsKey(name) && entries.get(name).offset < end) {
                changed |= remove(new Registration(end - 1, name, Optional.empty()), nowMillis);
            }
        }
        return changed;
    }

    /**
     * Takes the newest record of every server from a store that was restored from an older copy.
     *
     * <p>Offsets go back and are given out again, so none known before means anything. The copy lacks what was written in
     * the seconds before: servers that have left or ended stand there as ready until they write again, and new ones do not
     * stand there at all. So a life that was leaving goes on leaving, one that was replaced stays so, and one that had been
     * removed is used again only when it has written since, or its registration has outlived the time in which one that
     * nobody renews runs out. Those that are missing get the time to register again.
     *
     * @param end offset from which records may be missing here
     * @param confirmMillis time in which a registration that nobody renews runs out
     */
    public boolean restore(Collection<Registration> records, long end, long confirmMillis, long nowMillis) {
        removed.clear();
        inheritedEnd = records.stream().mapToLong(Registration::offset).reduce(end - 1, Math::max) + 1;
        connectedAt = nowMillis;
        entries.values().forEach(Entry::forgetOffset);
        List<Registration> known = new ArrayList<>();
        List<Registration> waiting = new ArrayList<>();
        for (Registration record : records) {
            boolean wasRemoved = record.server()
                    .filter(server -> ended.isRemoved(server.id()))
                    .isPresent();
            (wasRemoved ? waiting : known).add(record);
        }
        boolean changed = replaceAll(known, end, nowMillis);
        waiting.forEach(record -> unconfirmed.put(record.name(), new Unconfirmed(record, nowMillis + confirmMillis)));
        return changed;
    }

    private boolean remove(Registration record, long nowMillis) {
        unconfirmed.remove(record.name());
        removed.put(record.name(), record.offset());
        Entry entry = entries.get(record.name());
        if (entry == null) {
            return false;
        }
        entry.offset = record.offset();
        if (!connected || nowMillis - connectedAt < RETURN_MILLIS) {
            entry.removeAtMillis = Math.max(nowMillis, connectedAt + RETURN_MILLIS);
            return true;
        }
        forget(entry);
        return true;
    }

    /** Notes whether the store answers; a change from false to true starts the time of return. */
    public void storeAnswers(boolean answers, long nowMillis) {
        if (answers && !connected) {
            connectedAt = nowMillis;
        }
        connected = answers;
    }

    /**
     * Removes those whose registration did not come back in time, and takes those that were confirmed; true if there were
     * any.
     */
    public boolean expire(long nowMillis) {
        if (!connected) {
            return false;
        }
        List<Entry> due = entries.values().stream()
                .filter(entry -> entry.removeAtMillis <= nowMillis)
                .toList();
        due.forEach(this::forget);
        List<Registration> confirmed = unconfirmed.values().stream()
                .filter(waiting -> waiting.untilMillis() <= nowMillis)
                .map(Unconfirmed::record)
                .toList();
        for (Registration record : confirmed) {
            unconfirmed.remove(record.name());
            register(record, nowMillis);
        }
        return !due.isEmpty() || !confirmed.isEmpty();
    }

    /** The servers known now. */
    public List<BackendServer> servers() {
        List<BackendServer> servers = new ArrayList<>(entries.size());
        entries.values().forEach(entry -> servers.add(entry.server));
        return servers;
    }

    /** The server in the life of that id; empty if the life is not known or has ended. */
    public Optional<BackendServer> server(BackendServerId id) {
        return Optional.ofNullable(lives.get(id)).map(entry -> entry.server);
    }

    /** Whether the life has ended, as its server has registered in another one; what ran in it is lost. */
    public boolean isReplaced(BackendServerId id) {
        return ended.isReplaced(id);
    }

    /** Since when the server is known to be leaving; empty while it is not. */
    public Optional<Long> leavingSinceMillis(BackendServerId id) {
        return Optional.ofNullable(lives.get(id))
                .map(entry -> entry.leavingSinceMillis)
                .filter(since -> since != Long.MAX_VALUE);
    }
}
