package org.cornelramp.core.key;

import java.time.Instant;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.Incarnation;

/**
 * A key minted by the router. It names the one incarnation that may run it and the time at which it was minted.
 *
 * <p>Since the ticket itself is the binding, nothing needs to be recorded before the agent records the key, and minting
 * works without the log. Immutable, safe for use by any thread.
 *
 * @param incarnation the only agent incarnation that may run the key
 * @param madeAt when it was minted, in whole milliseconds
 * @param nonce random number that makes tickets of the same millisecond distinct
 */
public record Ticket(Incarnation incarnation, Instant madeAt, long nonce) implements IdempotencyKey {
    private static final String PREFIX = "t1~";
    private static final String SEPARATOR = "~";
    private static final int PARTS = 5;
    private static final int HEX = 16;

    /** Whether the text has the prefix of a ticket. */
    public static boolean isTicket(String text) {
        return text.startsWith(PREFIX);
    }

    /**
     * Parses {@code t1~server~life~millis~nonce}, with numbers in hexadecimal; {@code life} is the number of the
     * incarnation.
     *
     * @throws IllegalArgumentException if the text is not a ticket in canonical form
     */
    public static Ticket parse(String text) {
        String[] parts = text.split(SEPARATOR, -1);
        if (!isTicket(text) || parts.length != PARTS) {
            throw new IllegalArgumentException("A ticket has the form t1~server~life~millis~nonce");
        }
        Ticket ticket = new Ticket(
                new Incarnation(new BackendServerId(parts[1]), Long.parseUnsignedLong(parts[2], HEX)),
                Instant.ofEpochMilli(Long.parseLong(parts[3], HEX)),
                Long.parseUnsignedLong(parts[4], HEX));
        if (!ticket.text().equals(text)) {
            throw new IllegalArgumentException("The ticket is not in canonical form; send it as it was minted");
        }
        return ticket;
    }

    @Override
    public String text() {
        return PREFIX
                + incarnation
                + SEPARATOR
                + Long.toHexString(madeAt.toEpochMilli())
                + SEPARATOR
                + Long.toHexString(nonce);
    }
}
