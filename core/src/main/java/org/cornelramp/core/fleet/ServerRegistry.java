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
 * <p>A server may restart under the same name. Its new incarnation counts as another server with another id, so state of
 * the old one, such as that it was leaving or being removed, does not carry over.
 *
 * <p>Records may be read more than once, and pages out of order. The offset of each record decides, so an older record
 * never undoes a newer one. Owned by one thread.
 *
 * <p>While the store is down, registrations expire although their servers still run. Removing them at once would leave
 * requests without any server just when the store returns. Therefore a removal that is read within
 * {@link #REGISTRATION_GRACE_MILLIS} of an outage takes effect only after that time, unless the server registers again
 * before.
 */
public final class ServerRegistry {
    /**
     * Grace period for registrations that expired during an outage: servers register again within two seconds, and reading
     * the registrations takes up to half a second.
     */
    public static final long REGISTRATION_GRACE_MILLIS = 2_500;

    /** By the name that a server keeps over restarts. */
    private final Map<BackendServerId, Entry> byName = new HashMap<>();

    /** By the id of the incarnation. */
    private final Map<BackendServerId, Entry> byId = new HashMap<>();

    private final Map<BackendServerId, Long> removedOffsets = new HashMap<>();
    private final EndedIncarnations endedIncarnations = new EndedIncarnations();

    private final AnnouncedShutdowns announcedShutdowns = new AnnouncedShutdowns();

    /** Registrations read from a restored store that are not used until they are confirmed, by name. */
    private final Map<BackendServerId, Unconfirmed> unconfirmed = new HashMap<>();

    /** Records below this offset may come from the copy from which the store was restored. */
    private long restoredEnd;

    private boolean storeAvailable = true;
    private long storeAvailableSince = Long.MIN_VALUE / 2;

    private static final class Entry {
        private BackendServer server;
        private long offset;
        private long removeAtMillis = Long.MAX_VALUE;
        private long leavingSinceMillis = Long.MAX_VALUE;
        /** Whether the incarnation stays leaving whatever is read of it. */
        private boolean staysLeaving;

        private void resetOffset() {
            offset = -1;
            staysLeaving |= leavingSinceMillis != Long.MAX_VALUE;
        }
    }

    private record Unconfirmed(Registration record, long untilMillis) {}

    /**
     * One registration record. Immutable, safe for use by any thread.
     *
     * @param offset offset of the record; higher is newer
     * @param name name of the server
     * @param server the registered server; empty if the registration was removed or describes no usable server
     */
    public record Registration(long offset, BackendServerId name, Optional<BackendServer> server) {}

    /** Applies one record; returns whether it changed anything. */
    public boolean apply(Registration record, long nowMillis) {
        Entry known = byName.get(record.name());
        if (record.offset() <= removedOffsets.getOrDefault(record.name(), -1L)
                || (known != null && record.offset() <= known.offset)
                || isUnconfirmedDuplicate(record)) {
            return false;
        }
        if (record.server().isEmpty()) {
            return remove(record, nowMillis);
        }
        unconfirmed.remove(record.name());
        if (record.offset() < restoredEnd
                && endedIncarnations.isReplaced(record.server().get().id())) {
            return false;
        }
        return register(record, nowMillis);
    }

    /** Whether the record is a repeated read of one that is still unconfirmed. */
    private boolean isUnconfirmedDuplicate(Registration record) {
        Unconfirmed existing = unconfirmed.get(record.name());
        return existing != null && record.offset() <= existing.record().offset();
    }

    private boolean register(Registration record, long nowMillis) {
        Entry known = byName.get(record.name());
        BackendServer server = record.server().orElseThrow();
        if (known != null && !known.server.id().equals(server.id())) {
            endIncarnation(known);
        }
        Entry entry = byName.computeIfAbsent(record.name(), name -> new Entry());
        entry.staysLeaving |= announcedShutdowns.contains(server.id());
        byId.put(server.id(), entry);
        endedIncarnations.markRegistered(server.id());
        BackendServer effective = entry.staysLeaving ? server.withState(ServerState.DRAINING) : server;
        boolean changed = !isSame(effective, entry.server) || entry.removeAtMillis != Long.MAX_VALUE;
        entry.server = effective;
        entry.offset = record.offset();
        entry.removeAtMillis = Long.MAX_VALUE;
        boolean leaving = !entry.server.state().takesWork();
        entry.leavingSinceMillis = leaving ? Math.min(entry.leavingSinceMillis, nowMillis) : Long.MAX_VALUE;
        return changed;
    }

    /** Whether two registrations differ at most in the remaining cold time, which falls with every heartbeat. */
    private static boolean isSame(BackendServer server, BackendServer before) {
        return before != null && server.equals(before.withColdRemainingMillis(server.coldRemainingMillis()));
    }

    /**
     * Records that a server itself has said that it is shutting down. Its incarnation stays leaving, whatever its
     * registrations say.
     *
     * @return whether it was not known to be leaving
     */
    public boolean markLeaving(BackendServerId id, long nowMillis) {
        announcedShutdowns.add(id, other -> byId.containsKey(other), nowMillis);
        Entry entry = byId.get(id);
        if (entry == null) {
            return false;
        }
        boolean wasLeaving = entry.leavingSinceMillis != Long.MAX_VALUE;
        entry.staysLeaving = true;
        entry.leavingSinceMillis = Math.min(entry.leavingSinceMillis, nowMillis);
        entry.server = entry.server.withState(ServerState.DRAINING);
        return !wasLeaving;
    }

    private void endIncarnation(Entry entry) {
        removeEntry(entry);
        endedIncarnations.markReplaced(entry.server.id());
    }

    private void removeEntry(Entry entry) {
        byName.remove(entry.server.name());
        byId.remove(entry.server.id());
        endedIncarnations.markRemoved(entry.server.id());
    }

    /**
     * Applies a complete read: the newest record of every server. Servers that are missing from it are removed.
     *
     * @param records the records
     * @param end records at or above this offset may be missing from the read
     * @return whether anything changed
     */
    public boolean replaceAll(Collection<Registration> records, long end, long nowMillis) {
        boolean changed = false;
        Map<BackendServerId, Registration> newest = new HashMap<>();
        for (Registration record : records) {
            newest.put(record.name(), record);
            changed |= apply(record, nowMillis);
        }
        unconfirmed.keySet().retainAll(newest.keySet());
        for (BackendServerId name : List.copyOf(byName.keySet())) {
            if (!newest.containsKey(name) && byName.get(name).offset < end) {
                changed |= remove(new Registration(end - 1, name, Optional.empty()), nowMillis);
            }
        }
        return changed;
    }

    /**
     * Applies a complete read of a store that was restored from an older copy.
     *
     * <p>The store assigns offsets again from the end of the copy, so offsets known before are discarded. The copy lacks the
     * writes of the last seconds before the failure: servers that were leaving or have ended appear as ready until they
     * write again, and new servers are missing. Therefore an incarnation that was leaving remains leaving, and one that was
     * replaced remains replaced. One that was removed is used again only after it has written again, or once its
     * registration has outlasted the time in which an unrenewed one expires. Missing servers get the grace period of
     * {@link #REGISTRATION_GRACE_MILLIS} to register again.
     *
     * @param end records at or above this offset may be missing from the read
     * @param confirmMillis time after which a registration that is not renewed expires
     * @return whether anything changed
     */
    public boolean restore(Collection<Registration> records, long end, long confirmMillis, long nowMillis) {
        removedOffsets.clear();
        restoredEnd = records.stream().mapToLong(Registration::offset).reduce(end - 1, Math::max) + 1;
        storeAvailableSince = nowMillis;
        byName.values().forEach(Entry::resetOffset);
        List<Registration> known = new ArrayList<>();
        List<Registration> toConfirm = new ArrayList<>();
        for (Registration record : records) {
            boolean wasRemoved = record.server()
                    .filter(server -> endedIncarnations.isRemoved(server.id()))
                    .isPresent();
            (wasRemoved ? toConfirm : known).add(record);
        }
        boolean changed = replaceAll(known, end, nowMillis);
        toConfirm.forEach(record -> unconfirmed.put(record.name(), new Unconfirmed(record, nowMillis + confirmMillis)));
        return changed;
    }

    private boolean remove(Registration record, long nowMillis) {
        unconfirmed.remove(record.name());
        removedOffsets.put(record.name(), record.offset());
        Entry entry = byName.get(record.name());
        if (entry == null) {
            return false;
        }
        entry.offset = record.offset();
        if (!storeAvailable || nowMillis - storeAvailableSince < REGISTRATION_GRACE_MILLIS) {
            entry.removeAtMillis = Math.max(nowMillis, storeAvailableSince + REGISTRATION_GRACE_MILLIS);
            return true;
        }
        removeEntry(entry);
        return true;
    }

    /** Records whether the store is available; a change from false to true starts the grace period. */
    public void setStoreAvailable(boolean available, long nowMillis) {
        if (available && !storeAvailable) {
            storeAvailableSince = nowMillis;
        }
        storeAvailable = available;
    }

    /**
     * Removes servers that did not register again within the grace period, and registers those that were confirmed.
     *
     * @return whether there were any
     */
    public boolean expire(long nowMillis) {
        if (!storeAvailable) {
            return false;
        }
        List<Entry> due = byName.values().stream()
                .filter(entry -> entry.removeAtMillis <= nowMillis)
                .toList();
        due.forEach(this::removeEntry);
        List<Registration> confirmed = unconfirmed.values().stream()
                .filter(entry -> entry.untilMillis() <= nowMillis)
                .map(Unconfirmed::record)
                .toList();
        for (Registration record : confirmed) {
            unconfirmed.remove(record.name());
            register(record, nowMillis);
        }
        return !due.isEmpty() || !confirmed.isEmpty();
    }

    /** The servers that are currently known. */
    public List<BackendServer> servers() {
        List<BackendServer> servers = new ArrayList<>(byName.size());
        byName.values().forEach(entry -> servers.add(entry.server));
        return servers;
    }

    /** The server with that id; empty if the incarnation is unknown or has ended. */
    public Optional<BackendServer> server(BackendServerId id) {
        return Optional.ofNullable(byId.get(id)).map(entry -> entry.server);
    }

    /** Whether the incarnation has ended because its server registered as another one; requests on it are lost. */
    public boolean isReplaced(BackendServerId id) {
        return endedIncarnations.isReplaced(id);
    }

    /** When the server was first seen leaving, in milliseconds; empty if it is not leaving. */
    public Optional<Long> leavingSinceMillis(BackendServerId id) {
        return Optional.ofNullable(byId.get(id))
                .map(entry -> entry.leavingSinceMillis)
                .filter(since -> since != Long.MAX_VALUE);
    }
}
