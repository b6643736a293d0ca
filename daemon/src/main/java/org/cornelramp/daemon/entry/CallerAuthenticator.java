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
 * Identifies the caller's organisation and finds its row for a service. The organisation is derived only from the
 * caller's key, so that no caller can claim another organisation. Safe for use by any thread.
 */
final class CallerAuthenticator {
    private static final String BEARER = "Bearer ";
    private static final long MAX_DEADLINE_MILLIS = 600_000;

    private final TableSource tableSource;

    CallerAuthenticator(TableSource tableSource) {
        this.tableSource = tableSource;
    }

    /** Returns the row of the organisation that a caller key belongs to. */
    Either<Problem, Row> findRow(String authorization, ServiceName service) {
        return authenticate(authorization).flatMap(organisation -> findRow(organisation, service));
    }

    /** Returns the organisation that the key in an Authorization header belongs to. */
    Either<Problem, OrganisationId> authenticate(String authorization) {
        if (!tableSource.isReady()) {
            return Either.left(Refusals.notReady());
        }
        if (authorization == null || !authorization.regionMatches(true, 0, BEARER, 0, BEARER.length())) {
            return unauthorised("The request has no caller key.");
        }
        String key = authorization.substring(BEARER.length()).strip();
        Optional<OrganisationId> found = tableSource.current().organisationOf(sha256(key));
        return found.<Either<Problem, OrganisationId>>map(Either::right)
                .orElseGet(() -> unauthorised("The caller key is not known."));
    }

    /** Returns the deadline from the header {@link Headers#DEADLINE}, or the row's default without one. */
    static Either<Problem, Instant> parseDeadline(String header, Row row, Instant now) {
        if (header == null) {
            return Either.right(now.plusMillis(row.values().deadlineMillis()));
        }
        try {
            long millis = Long.parseLong(header.strip());
            if (millis >= 1 && millis <= MAX_DEADLINE_MILLIS) {
                return Either.right(now.plusMillis(millis));
            }
        } catch (NumberFormatException e) {
            return malformedDeadline();
        }
        return malformedDeadline();
    }

    /** Returns the SHA-256 of a text in UTF-8, in lower-case hexadecimal. */
    static String sha256(String text) {
        return sha256(text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns the SHA-256 in lower-case hexadecimal. Several parts are each preceded by their length, so that parts
     * split differently have different hashes.
     */
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

    private Either<Problem, Row> findRow(OrganisationId organisation, ServiceName service) {
        Table table = tableSource.current();
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
                Headers.DEADLINE + " is not a whole number of milliseconds from 1 to " + MAX_DEADLINE_MILLIS + "."));
    }
}
