package org.cornelramp.core.text;

import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Turns text into token numbers and generated token numbers into text.
 *
 * <p>A prompt token is one UTF-8 byte plus 1, so that no prompt holds the end token. Stateless, safe for use by
 * any thread.
 */
public final class Vocabulary {
    /** The token that ends an answer. */
    public static final int END = 0;

    private static final int RADIX = 36;
    private static final int BYTE = 0xff;

    private Vocabulary() {}

    /** The tokens of a prompt: the contents of its messages, joined by a newline. */
    public static long[] encode(List<String> contents) {
        byte[] bytes = String.join("\n", contents).getBytes(StandardCharsets.UTF_8);
        long[] tokens = new long[bytes.length];
        for (int i = 0; i < bytes.length; i++) {
            tokens[i] = (bytes[i] & BYTE) + 1L;
        }
        return tokens;
    }

    /** The text of one generated token; empty for {@link #END}. */
    public static String render(int token) {
        return token == END ? "" : "w" + Integer.toString(token, RADIX) + " ";
    }
}
