package org.cornelramp.core.settings;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * A host and a port, such as {@code 10.0.3.7:7070}. With port 0 the system chooses one.
 * Immutable, safe for use by any thread.
 */
public record HostPort(String host, int port) {
    private static final int MAX_PORT = 65_535;

    public HostPort {
        if (host.isBlank() || port < 0 || port > MAX_PORT) {
            throw new IllegalArgumentException("An address must be host:port, with a port from 0 to " + MAX_PORT);
        }
    }

    /** Parses {@code host:port}. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public static HostPort parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 0) {
            throw new IllegalArgumentException("An address must be host:port, with a port from 0 to " + MAX_PORT);
        }
        return new HostPort(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    @JsonValue
    @Override
    public String toString() {
        return host + ":" + port;
    }
}
