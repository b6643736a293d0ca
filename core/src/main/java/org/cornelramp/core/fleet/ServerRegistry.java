package org.cornelramp.core.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
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

    /** Most ended lives remembered; requests that still run there end within seconds. */
    private static final int MOST_REPLACED = 256;

    /** By the name that a server keeps over its lives. */
    private final Map<BackendServerId, Entry> entries = new HashMap<>();

    /** By the id of the life. */
    private final Map<BackendServerId, Entry> lives = new HashMap<>();

    private final Map<BackendServerId, Long> removed = new HashMap<>();
    private final Set<BackendServerId> replaced = new LinkedHashSet<>();
    private boolean connected = true;
    private long connectedAt = Long.MIN_VALUE / 2;

    private static final class Entry {
        private BackendServer server;
        private long offset;
        private long removeAtMillis = Long.MAX_VALUE;
        private long leavingSinceMillis = Long.MAX_VALUE;
    }

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
                || (known != null && record.offset() <= known.offset)) {
            return false;
        }
        if (record.server().isEmpty()) {
            return remove(record, nowMillis);
        }
        if (known != null && !known.server.id().equals(record.server().get().id())) {
            endLife(known);
        }
        Entry entry = entries.computeIfAbsent(record.name(), name -> new Entry());
        lives.put(record.server().get().id(), entry);
        boolean changed = !record.server().get().equals(entry.server) || entry.removeAtMillis != Long.MAX_VALUE;
        entry.server = record.server().get();
        entry.offset = record.offset();
        entry.removeAtMillis = Long.MAX_VALUE;
        boolean leaves = !entry.server.state().takesWork();
        entry.leavingSinceMillis = leaves ? Math.min(entry.leavingSinceMillis, nowMillis) : Long.MAX_VALUE;
        return changed;
    }

    private void endLife(Entry old) {
        forget(old);
        replaced.add(old.server.id());
        if (replaced.size() > MOST_REPLACED) {
            replaced.remove(replaced.iterator().next());
        }
    }

    private void forget(Entry entry) {
        entries.remove(entry.server.name());
        lives.remove(entry.server.id());
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
        for (BackendServerId name : List.copyOf(entries.keySet())) {
            if (!newest.containsKey(name) && entries.get(name).offset < end) {
                changed |= remove(new Registration(end - 1, name, Optional.empty()), nowMillis);
            }
        }
        return changed;
    }

    private boolean remove(Registration record, long nowMillis) {
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

    /** Removes those whose registration did not come back in time; true if there were any. */
    public boolean expire(long nowMillis) {
        List<Entry> due = entries.values().stream()
                .filter(entry -> entry.removeAtMillis <= nowMillis && connected)
                .toList();
        due.forEach(this::forget);
        return !due.isEmpty();
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
        return replaced.contains(id);
    }

    /** Since when the server is known to be leaving; empty while it is not. */
    public Optional<Long> leavingSinceMillis(BackendServerId id) {
        return Optional.ofNullable(lives.get(id))
                .map(entry -> entry.leavingSinceMillis)
                .filter(since -> since != Long.MAX_VALUE);
    }
}
