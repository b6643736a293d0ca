package org.cornelramp.core.key;

import java.time.Instant;
import java.util.Locale;
import java.util.UUID;

/**
 * A caller's own key, a UUIDv7: its first 48 bits are the time at which it was made.
 *
 * <p>Invariant: the version is 7. Immutable, safe for use by any thread.
 */
public record OwnKey(UUID uuid) implements IdempotencyKey {
    private static final int VERSION = 7;
    private static final int TIME_SHIFT = 16;
    private static final int LENGTH = 36;

    public OwnKey {
        if (uuid.version() != VERSION) {
            throw new IllegalArgumentException("An own key is a UUIDv7");
        }
    }

    /** Reads the canonical text form of a UUIDv7. */
    public static OwnKey parse(String text) {
        if (text.length() != LENGTH) {
            throw new IllegalArgumentException("A UUID has " + LENGTH + " characters");
        }
        return new OwnKey(UUID.fromString(text.toLowerCase(Locale.ROOT)));
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
