package org.cornelramp.core.poison;

import java.time.Instant;
import java.util.Optional;

/**
 * States that a request, or each request that holds some parts of prompts, is refused as poison until a given time. Immutable, safe for use by any thread.
 *
 * @param fingerprint {@link Fingerprint} of the request, or name of the group of parts ({@link PromptParts})
 * @param until when the refusal ends
 */
public record PoisonMark(String fingerprint, Instant until) {
    private static final char SEPARATOR = '@';

    /** Parses the form that {@link #toString} writes; returns empty for any other text. */
    public static Optional<PoisonMark> parse(String text) {
        int at = text.lastIndexOf(SEPARATOR);
        if (at <= 0) {
            return Optional.empty();
        }
        try {
            Instant until = Instant.ofEpochMilli(Long.parseLong(text.substring(at + 1)));
            return Optional.of(new PoisonMark(text.substring(0, at), until));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    @Override
    public String toString() {
        return fingerprint + SEPARATOR + until.toEpochMilli();
    }
}
