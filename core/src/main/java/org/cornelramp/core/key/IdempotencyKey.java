package org.cornelramp.core.key;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.cornelramp.core.model.Outcome;
import org.cornelramp.core.model.Problem;
import org.cornelramp.core.model.ProblemKind;

/** An idempotency key that carries its creation time. Implementations are immutable and safe for use by any thread. */
public sealed interface IdempotencyKey permits Ticket, UuidKey {
    /** Maximum time by which a caller's clock may be ahead of the entry's clock. */
    Duration CLOCK_SKEW = Duration.ofMinutes(1);

    /** The text form that callers send and agents record. */
    String text();

    /** When the key was created, by the clock of its creator. */
    Instant madeAt();

    /**
     * Parses a key and checks its age.
     *
     * <p>A key older than the window is refused with the outcome unknown: the records that show whether it ran may be
     * gone, so neither running it nor reporting it as not run would be safe.
     *
     * @param window age above which keys are refused
     */
    static Either<Problem, IdempotencyKey> read(String text, Instant now, Duration window) {
        return parse(text).flatMap(key -> checkAge(key, now, window));
    }

    /** When a key was created; empty if the text is not a valid key. */
    static Optional<Instant> madeAt(String text) {
        return parse(text).map(IdempotencyKey::madeAt).toJavaOptional();
    }

    private static Either<Problem, IdempotencyKey> parse(String text) {
        try {
            return Either.right(Ticket.isTicket(text) ? Ticket.parse(text) : UuidKey.parse(text));
        } catch (IllegalArgumentException e) {
            return Either.left(
                    Problem.notRun(ProblemKind.KEY_MALFORMED, "The key is neither a minted ticket nor a UUIDv7."));
        }
    }

    private static Either<Problem, IdempotencyKey> checkAge(IdempotencyKey key, Instant now, Duration window) {
        if (key.madeAt().isAfter(now.plus(CLOCK_SKEW))) {
            return Either.left(
                    Problem.notRun(ProblemKind.KEY_MALFORMED, "The creation time of the key is in the future."));
        }
        if (key.madeAt().plus(window).isBefore(now)) {
            return Either.left(new Problem(
                    ProblemKind.KEY_EXPIRED,
                    Outcome.UNKNOWN,
                    "The key is older than the window of " + window.toSeconds() + " s.",
                    Duration.ZERO));
        }
        return Either.right(key);
    }
}
