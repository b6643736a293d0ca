package org.cornelramp.core.poison;

import java.time.Instant;
import java.util.Optional;

/**
 * Says that a request is set aside, and until when. Immutable, safe for use by any thread.
 *
 * @param fingerprint the request
 * @param until when it is forgotten
 */
public record SetAsideMark(String fingerprint, Instant until) {
    private static final char SEPARATOR = '@';

    /** Reads the form that {@link #toString} writes; empty for any other text. */
    public static Optional<SetAsideMark> parse(String text) {
        int at = text.lastIndexOf(SEPARATOR);
        if (at <= 0) {
            return Optional.empty();
        }
        try {
            Instant until = Instant.ofEpochMilli(Long.parseLong(text.substring(at + 1)));
            return Optional.of(new SetAsideMark(text.substring(0, at), until));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    @Override
    public String toString() {
        return fingerprint + SEPARATOR + until.toEpochMilli();
    }
}
