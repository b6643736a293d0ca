package org.cornelramp.daemon.entry;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Instant;
import java.util.HexFormat;
import java.util.Optional;
import org.cornelramp.core.model.OrganisationId;
import org.cornelramp.core.model.Problem;
import org.cornelramp.core.model.ProblemKind;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.core.table.Row;
import org.cornelramp.core.table.RowKey;
import org.cornelramp.core.table.Table;
import org.cornelramp.daemon.table.TableSource;

/**
 * Tells who calls and what they may use. The organisation comes only from the caller's key, so that nobody can name
 * another's. Safe for use by any thread.
 */
final class Callers {
    private static final String BEARER = "Bearer ";
    private static final long LONGEST_DEADLINE_MILLIS = 600_000;

    private final TableSource source;

    Callers(TableSource source) {
        this.source = source;
    }

    /** The row of the organisation that a key belongs to. */
    Either<Problem, Row> row(String authorization, ServiceName service) {
        return organisation(authorization).flatMap(organisation -> row(organisation, service));
    }

    /** The organisation that the key in an Authorization header belongs to. */
    Either<Problem, OrganisationId> organisation(String authorization) {
        if (!source.isReady()) {
            return Either.left(Refusals.notReady());
        }
        if (authorization == null || !authorization.regionMatches(true, 0, BEARER, 0, BEARER.length())) {
            return unauthorised("The request has no caller key.");
        }
        String key = authorization.substring(BEARER.length()).strip();
        Optional<OrganisationId> found = source.current().organisationOf(sha256(key));
        return found.<Either<Problem, OrganisationId>>map(Either::right)
                .orElseGet(() -> unauthorised("The caller key is not known."));
    }

    /** The deadline that a caller states, or else the row's. */
    static Either<Problem, Instant> deadline(String header, Row row, Instant now) {
        if (header == null) {
            return Either.right(now.plusMillis(row.values().deadlineMillis()));
        }
        try {
            long millis = Long.parseLong(header.strip());
            if (millis >= 1 && millis <= LONGEST_DEADLINE_MILLIS) {
                return Either.right(now.plusMillis(millis));
            }
        } catch (NumberFormatException e) {
            return malformedDeadline();
        }
        return malformedDeadline();
    }

    /** SHA-256 in lower-case hexadecimal. */
    static String sha256(String text) {
        return sha256(text.getBytes(StandardCharsets.UTF_8));
    }

    /** SHA-256 over all parts, each with its length, in lower-case hexadecimal. */
    static String sha256(byte[]... parts) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            if (parts.length == 1) {
                return HexFormat.of().formatHex(digest.digest(parts[0]));
            }
            for (byte[] part : parts) {
                digest.update((part.length + ":").getBytes(StandardCharsets.UTF_8));
                digest.update(part);
            }
            return HexFormat.of().formatHex(digest.digest());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("Every Java platform has SHA-256", e);
        }
    }

    private Either<Problem, Row> row(OrganisationId organisation, ServiceName service) {
        Table table = source.current();
        Optional<Row> row = table.row(new RowKey(organisation, service));
        if (row.isPresent()) {
            return Either.right(row.get());
        }
        return Either.left(
                table.hasService(service)
                        ? Problem.notRun(ProblemKind.NOT_ENTITLED, "The organisation has no row for " + service + ".")
                        : Problem.notRun(ProblemKind.UNKNOWN_SERVICE, "No row names " + service + "."));
    }

    private static <T> Either<Problem, T> unauthorised(String detail) {
        return Either.left(Problem.notRun(ProblemKind.UNAUTHORISED, detail));
    }

    private static Either<Problem, Instant> malformedDeadline() {
        return Either.left(Problem.notRun(
                ProblemKind.MALFORMED_REQUEST,
                Headers.DEADLINE + " is not a whole number of milliseconds from 1 to " + LONGEST_DEADLINE_MILLIS
                        + "."));
    }
}
