package org.cornelramp.core.admission;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.OrganisationId;
import org.cornelramp.core.model.ServiceName;

/**
 * Hash of the name of a service, an organisation or a server, which stands for the name in demand reports: 4 bytes
 * instead of up to 30. Immutable, safe for use by any thread.
 *
 * <p>Two names of one kind with the same hash share their figures, so both seem to have more demand than they have; a
 * figure is never too low. {@link NameCollisions} detects such names. The checksum gives different values to names that
 * differ only within four consecutive bytes, such as those with a number or a short random part.
 */
public record NameHash(int value) implements Comparable<NameHash> {

    /** The hash of a service's name. */
    public static NameHash of(ServiceName service) {
        return of(service.value());
    }

    /** The hash of an organisation's id. */
    public static NameHash of(OrganisationId organisation) {
        return of(organisation.value());
    }

    /** The hash of a server's id. */
    public static NameHash of(BackendServerId server) {
        return of(server.value());
    }

    static NameHash of(String name) {
        CRC32C checksum = new CRC32C();
        checksum.update(name.getBytes(StandardCharsets.UTF_8));
        return new NameHash((int) checksum.getValue());
    }

    @Override
    public int compareTo(NameHash other) {
        return Integer.compare(value, other.value);
    }
}
