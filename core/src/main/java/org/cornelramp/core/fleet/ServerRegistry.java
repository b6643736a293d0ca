package org.cornelramp.core.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cornelramp.core.model.BackendServerId;

/**
 * The backend servers registered in the platform's store, as far as this process has read.
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

    private final Map<BackendServerId, Entry> entries = new HashMap<>();
    private final Map<BackendServerId, Long> removed = new HashMap<>();
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
     * @param id whom it is about
     * @param server what it says; empty if the registration was removed
     */
    public record Registration(long offset, BackendServerId id, Optional<BackendServer> server) {}

    /** Takes one record; true if it changed anything. */
    public boolean apply(Registration record, long nowMillis) {
        Entry known = entries.get(record.id());
        if (record.offset() <= removed.getOrDefault(record.id(), -1L)
                || (known != null && record.offset() <= known.offset)) {
            return false;
        }
        if (record.server().isEmpty()) {
            return remove(record, nowMillis);
        }
        Entry entry = entries.computeIfAbsent(record.id(), id -> new Entry());
        boolean changed = !record.server().get().equals(entry.server) || entry.removeAtMillis != Long.MAX_VALUE;
        entry.server = record.server().get();
        entry.offset = record.offset();
        entry.removeAtMillis = Long.MAX_VALUE;
        boolean leaves = !entry.server.state().takesWork();
        entry.leavingSinceMillis = leaves ? Math.min(entry.leavingSinceMillis, nowMillis) : Long.MAX_VALUE;
        return changed;
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
            newest.put(record.id(), record);
            changed |= apply(record, nowMillis);
        }
        for (BackendServerId id : List.copyOf(entries.keySet())) {
            if (!newest.containsKey(id) && entries.get(id).offset < end) {
                changed |= remove(new Registration(end - 1, id, Optional.empty()), nowMillis);
            }
        }
        return changed;
    }

    private boolean remove(Registration record, long nowMillis) {
        removed.put(record.id(), record.offset());
        Entry entry = entries.get(record.id());
        if (entry == null) {
            return false;
        }
        entry.offset = record.offset();
        if (!connected || nowMillis - connectedAt < RETURN_MILLIS) {
            entry.removeAtMillis = Math.max(nowMillis, connectedAt + RETURN_MILLIS);
            return true;
        }
        entries.remove(record.id());
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
        boolean changed = false;
        for (Iterator<Entry> each = entries.values().iterator(); each.hasNext(); ) {
            if (each.next().removeAtMillis <= nowMillis && connected) {
                each.remove();
                changed = true;
            }
        }
        return changed;
    }

    /** The servers known now. */
    public List<BackendServer> servers() {
        List<BackendServer> servers = new ArrayList<>(entries.size());
        entries.values().forEach(entry -> servers.add(entry.server));
        return servers;
    }

    /** The server of that id. */
    public Optional<BackendServer> server(BackendServerId id) {
        return Optional.ofNullable(entries.get(id)).map(entry -> entry.server);
    }

    /** Since when the server is known to be leaving; empty while it is not. */
    public Optional<Long> leavingSinceMillis(BackendServerId id) {
        return Optional.ofNullable(entries.get(id))
                .map(entry -> entry.leavingSinceMillis)
                .filter(since -> since != Long.MAX_VALUE);
    }
}
