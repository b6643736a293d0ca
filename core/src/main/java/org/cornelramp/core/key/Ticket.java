package org.cornelramp.core.key;

import java.time.Instant;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.Incarnation;

/**
 * A minted key, which names the one incarnation that may run it and the time at which it was minted.
 *
 * <p>Since the ticket itself is the binding, no record of it is needed anywhere before the agent's own, and
 * minting works without the log. Immutable, safe for use by any thread.
 *
 * @param incarnation the only agent life that may run the key
 * @param madeAt when it was minted, in whole milliseconds
 * @param nonce random number that tells tickets of one millisecond apart
 */
public record Ticket(Incarnation incarnation, Instant madeAt, long nonce) implements IdempotencyKey {
    private static final String PREFIX = "t1~";
    private static final String SEPARATOR = "~";
    private static final int PARTS = 5;
    private static final int HEX = 16;

    /** Whether the text claims to be a ticket. */
    public static boolean isTicket(String text) {
        return text.startsWith(PREFIX);
    }

    /** Reads {@code t1~server~life~millis~nonce}, numbers in hexadecimal. */
    public static Ticket parse(String text) {
        String[] parts = text.split(SEPARATOR, -1);
        if (!isTicket(text) || parts.length != PARTS) {
            throw new IllegalArgumentException("A ticket reads t1~server~life~millis~nonce");
        }
        Ticket ticket = new Ticket(
                new Incarnation(new BackendServerId(parts[1]), Long.parseUnsignedLong(parts[2], HEX)),
                Instant.ofEpochMilli(Long.parseLong(parts[3], HEX)),
                Long.parseUnsignedLong(parts[4], HEX));
        if (!ticket.text().equals(text)) {
            throw new IllegalArgumentException("A ticket is sent as it was minted");
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
