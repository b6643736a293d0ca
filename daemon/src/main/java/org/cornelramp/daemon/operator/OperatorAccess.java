package org.cornelramp.daemon.operator;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import org.cornelramp.core.model.Problem;
import org.cornelramp.core.model.ProblemKind;
import org.cornelramp.core.settings.OperatorSettings;

/**
 * Decides who may use the operators' interface: whoever sends a key whose hash the settings list. Without such
 * settings the interface is closed. Immutable, safe for use by any thread.
 */
final class OperatorAccess {
    private static final String BEARER = "Bearer ";

    private final List<byte[]> hashes;

    OperatorAccess(Optional<OperatorSettings> settings) {
        this.hashes = settings.map(OperatorSettings::keyHashes).orElse(List.of()).stream()
                .map(HexFormat.of()::parseHex)
                .toList();
    }

    /**
     * Why a request is refused; empty if it may pass.
     *
     * @param authorization the Authorization header; null if there is none
     */
    Optional<Problem> refusal(String authorization) {
        if (hashes.isEmpty()) {
            return Optional.of(Problem.notRun(ProblemKind.OPERATORS_CLOSED, "This entry's settings name no operator."));
        }
        boolean known = authorization != null
                && authorization.startsWith(BEARER)
                && isKnown(authorization.substring(BEARER.length()).trim());
        return known
                ? Optional.empty()
                : Optional.of(Problem.notRun(
                        ProblemKind.OPERATOR_UNAUTHORISED,
                        "The request carries no operator's key that is known here."));
    }

    /** Compares all hashes in full, so that the time taken tells nothing of a key. */
    private boolean isKnown(String key) {
        byte[] hash = hash(key);
        boolean known = false;
        for (byte[] one : hashes) {
            known |= MessageDigest.isEqual(one, hash);
        }
        return known;
    }

    private static byte[] hash(String key) {
        try {
            return MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("Every Java platform has SHA-256", e);
        }
    }
}
