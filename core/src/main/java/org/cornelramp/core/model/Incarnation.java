package org.cornelramp.core.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * One incarnation of an agent: its process from start to end.
 *
 * <p>An idempotency key is bound to an incarnation, never to a backend server, so that a restarted agent, which has lost
 * its state, cannot run again what may have run before the restart. Incarnations of one agent have different numbers:
 * each draws 64 random bits. Immutable, safe for use by any thread.
 *
 * @param server the backend server of the agent
 * @param number random number of this incarnation
 */
public record Incarnation(BackendServerId server, long number) {
    private static final char SEPARATOR = '~';
    private static final int HEX = 16;

    /**
     * Parses the text form {@code server~number}, the number in hexadecimal.
     *
     * @throws IllegalArgumentException if the text has another form
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public static Incarnation parse(String text) {
        int at = text.lastIndexOf(SEPARATOR);
        if (at < 0) {
            throw new IllegalArgumentException(
                    "An incarnation must have the form server~number, the number in hexadecimal");
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
