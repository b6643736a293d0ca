package org.cornelramp.core.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * One life of one agent: from its start until its process ends.
 *
 * <p>An idempotency key is bound to an incarnation, never to a backend server, so that a restarted agent,
 * whose memory is empty, cannot run again what its earlier life may have run. Two lives of one agent
 * never share a number: it is drawn at random from 64 bits. Immutable, safe for use by any thread.
 *
 * @param server the backend server that the agent stands beside
 * @param number random number of this life
 */
public record Incarnation(BackendServerId server, long number) {
    private static final char SEPARATOR = '~';
    private static final int HEX = 16;

    /** Reads the text form {@code server~life}, the life in hexadecimal. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public static Incarnation parse(String text) {
        int at = text.lastIndexOf(SEPARATOR);
        if (at < 0) {
            throw new IllegalArgumentException("An incarnation reads server~life, the life in hexadecimal");
        }
        return new Incarnation(
                new BackendServerId(text.substring(0, at)), Long.parseUnsignedLong(text.substring(at + 1), HEX));
    }

    /** The text form that {@link #parse} reads. */
    @JsonValue
    @Override
    public String toString() {
        return server.value() + SEPARATOR + Long.toHexString(number);
    }
}
