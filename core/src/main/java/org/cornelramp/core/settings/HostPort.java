package org.cornelramp.core.settings;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * An address with its port, such as {@code 10.0.3.7:7070}. Port 0 lets the system choose.
 * Immutable, safe for use by any thread.
 */
public record HostPort(String host, int port) {
    private static final int MAX_PORT = 65_535;

    public HostPort {
        if (host.isBlank() || port < 0 || port > MAX_PORT) {
            throw new IllegalArgumentException("An address reads host:port, the port from 0 to " + MAX_PORT);
        }
    }

    /** Reads {@code host:port}. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public static HostPort parse(String text) {
        int at = text.lastIndexOf(':');
        if (at < 0) {
            throw new IllegalArgumentException("An address reads host:port, the port from 0 to " + MAX_PORT);
        }
        return new HostPort(text.substring(0, at), Integer.parseInt(text.substring(at + 1)));
    }

    @JsonValue
    @Override
    public String toString() {
        return host + ":" + port;
    }
}
