package org.cornelramp.core.key;

import java.time.Instant;
import java.util.Locale;
import java.util.UUID;

/**
 * A caller-generated key, a UUIDv7: its first 48 bits are its creation time in milliseconds since the epoch.
 *
 * <p>Invariant: the version is 7. Immutable, safe for use by any thread.
 */
public record UuidKey(UUID uuid) implements IdempotencyKey {
    private static final int VERSION = 7;
    private static final int TIME_SHIFT = 16;
    private static final int LENGTH = 36;

    public UuidKey {
        if (uuid.version() != VERSION) {
            throw new IllegalArgumentException("A caller-generated key must be a UUIDv7");
        }
    }

    /**
     * Parses the canonical text form of a UUIDv7.
     *
     * @throws IllegalArgumentException if the text is no UUIDv7
     */
    public static UuidKey parse(String text) {
        if (text.length() != LENGTH) {
            throw new IllegalArgumentException("A UUID has " + LENGTH + " characters");
        }
        return new UuidKey(UUID.fromString(text.toLowerCase(Locale.ROOT)));
    }

    @Override
    public String text() {
        return uuid.toString();
    }

    @Override
    public Instant madeAt() {
        return Instant.ofEpochMilli(uuid.getMostSignificantBits() >>> TIME_SHIFT);
    }
}
