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
 * Authorises requests to the operators' interface: a request must carry a key whose hash is in the settings. If the
 * settings list no hash, every request is refused. Immutable, safe for use by any thread.
 */
final class OperatorAccess {
    private static final String BEARER = "Bearer ";

    private final List<byte[]> keyHashes;

    OperatorAccess(Optional<OperatorSettings> settings) {
        this.keyHashes = settings.map(OperatorSettings::keyHashes).orElse(List.of()).stream()
                .map(HexFormat.of()::parseHex)
                .toList();
    }

    /**
     * Returns why a request is refused; empty if it is authorised.
     *
     * @param authorization the Authorization header; null if there is none
     */
    Optional<Problem> refusal(String authorization) {
        if (keyHashes.isEmpty()) {
            return Optional.of(Problem.notRun(
                    ProblemKind.OPERATORS_CLOSED,
                    "The settings of this entry list no operator's key; add its hash to operators.keyHashes."));
        }
        boolean known = authorization != null
                && authorization.startsWith(BEARER)
                && isKnown(authorization.substring(BEARER.length()).trim());
        return known
                ? Optional.empty()
                : Optional.of(Problem.notRun(
                        ProblemKind.OPERATOR_UNAUTHORISED,
                        "The request carries no operator's key whose hash is in the settings of this entry."));
    }

    /** Compares with every hash in full, so that the time taken reveals nothing about a key. */
    private boolean isKnown(String key) {
        byte[] hash = hash(key);
        boolean known = false;
        for (byte[] keyHash : keyHashes) {
            known |= MessageDigest.isEqual(keyHash, hash);
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
