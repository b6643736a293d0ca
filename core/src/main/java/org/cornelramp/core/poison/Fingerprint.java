package org.cornelramp.core.poison;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.cornelramp.core.model.OrganisationId;
import org.cornelramp.core.model.ServiceName;

/**
 * Identifies a request that is sent again: the same organisation, service and body give the same fingerprint,
 * regardless of idempotency key, entry and time. Stateless, safe for use by any thread.
 */
public final class Fingerprint {

    private Fingerprint() {}

    /** Returns the SHA-256 hash of organisation, service and body, in lower-case hexadecimal. */
    public static String of(OrganisationId organisation, ServiceName service, byte[] body) {
        MessageDigest digest = sha256();
        add(digest, organisation.value().getBytes(StandardCharsets.UTF_8));
        add(digest, service.value().getBytes(StandardCharsets.UTF_8));
        add(digest, body);
        return HexFormat.of().formatHex(digest.digest());
    }

    /** Hashes each part with its length, so that different requests never concatenate to the same bytes. */
    private static void add(MessageDigest digest, byte[] part) {
        digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(part.length).array());
        digest.update(part);
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available: use a complete Java runtime", e);
        }
    }
}
