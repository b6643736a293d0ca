package org.cornelramp.core.poison;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;
import org.cornelramp.core.model.OrganisationId;
import org.cornelramp.core.model.ServiceName;

/**
 * Identifies a request that is sent again: the same content of the same organisation gives the same fingerprint,
 * regardless of request id, idempotency key, deadline, process and time. Stateless, safe for use by any thread.
 */
public final class Fingerprint {
    /** Hexadecimal digits that keep requests apart and fit into a datagram many times. */
    private static final int HTTP_DIGITS = 32;

    private Fingerprint() {}

    /** Returns the SHA-256 hash of organisation, service and body, in lower-case hexadecimal. */
    public static String of(OrganisationId organisation, ServiceName service, byte[] body) {
        return hash(bytes(organisation.value()), bytes(service.value()), body);
    }

    /**
     * Returns the first 128 bits of the SHA-256 hash of an HTTP request as its client sends it, in lower-case
     * hexadecimal.
     *
     * @param organisation the organisation of the caller's key; empty for an anonymous caller
     * @param host the host that the request names, in the form that routes are matched with
     * @param pathQuery path and query as received
     */
    public static String ofHttp(
            Optional<OrganisationId> organisation, String method, String host, String pathQuery, byte[] body) {
        String caller = organisation.map(OrganisationId::value).orElse("");
        return hash(bytes(caller), bytes(method), bytes(host), bytes(pathQuery), body)
                .substring(0, HTTP_DIGITS);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static String hash(byte[]... parts) {
        MessageDigest digest = sha256();
        for (byte[] part : parts) {
            add(digest, part);
        }
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
