package org.cornelramp.core.table;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cornelramp.core.model.OrganisationId;
import org.cornelramp.core.model.ServiceName;

/**
 * Keeps one copy of each name and key hash while a snapshot is read.
 *
 * <p>An organisation's name and keys stand in each of its rows; thousands of rows would otherwise hold thousands of
 * copies in a process that is allowed little memory. Confined to one thread.
 */
final class Interner {
    private final Map<Object, Object> seen = new HashMap<>();

    OrganisationId organisation(OrganisationId organisation) {
        return (OrganisationId) keep(organisation);
    }

    ServiceName service(ServiceName service) {
        return (ServiceName) keep(service);
    }

    RowValues values(RowValues values) {
        List<String> hashes = List.copyOf(values.callerKeyHashes());
        @SuppressWarnings("unchecked")
        List<String> kept = (List<String>) keep(hashes);
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

    private Object keep(Object object) {
        Object first = seen.putIfAbsent(object, object);
        return first == null ? object : first;
    }
}
