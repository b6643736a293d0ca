package org.cornelramp.core.routing;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Locale;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Names a key without containing it: the SHA-256 hash of the key, in hexadecimal digits. Immutable, safe for use by any
 * thread.
 */
public record KeyId(String hash) {
    private static final Pattern VALID = Pattern.compile("[0-9a-f]{64}");

    /** Reads an id; empty if the text is not one, for example because it is the key itself. */
    public static Optional<KeyId> parse(String text) {
        return Optional.of(text.strip().toLowerCase(Locale.ROOT))
                .filter(hash -> VALID.matcher(hash).matches())
                .map(KeyId::new);
    }

    /** The id of a key. */
    public static KeyId of(String key) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            return new KeyId(HexFormat.of().formatHex(digest.digest(key.getBytes(StandardCharsets.UTF_8))));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(
                    "SHA-256 is not available, although every Java platform must provide it", e);
        }
    }
}
