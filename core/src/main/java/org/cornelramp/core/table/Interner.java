package org.cornelramp.core.table;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cornelramp.core.model.OrganisationId;
import org.cornelramp.core.model.ServiceName;

/**
 * Keeps one instance of each name and list of key hashes while a snapshot is read.
 *
 * <p>Each row repeats the name and the keys of its organisation; without interning, thousands of rows would hold
 * thousands of copies in a process with a small heap. Confined to one thread.
 */
final class Interner {
    private final Map<Object, Object> canonical = new HashMap<>();

    OrganisationId organisation(OrganisationId organisation) {
        return (OrganisationId) intern(organisation);
    }

    ServiceName service(ServiceName service) {
        return (ServiceName) intern(service);
    }

    RowValues values(RowValues values) {
        List<String> hashes = List.copyOf(values.callerKeyHashes());
        @SuppressWarnings("unchecked")
        List<String> kept = (List<String>) intern(hashes);
        return new RowValues(
                values.weight(),
                values.priority(),
                values.requestsPerSecond(),
                values.concurrency(),
                values.tokensPerSecond(),
                values.deadlineMillis(),
                values.objectivePercent(),
                kept);
    }

    private Object intern(Object object) {
        Object first = canonical.putIfAbsent(object, object);
        return first == null ? object : first;
    }
}
