package org.cornelramp.core.text;

import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Converts text to token numbers, and generated token numbers to text.
 *
 * <p>A prompt token is the value of one UTF-8 byte plus 1, so that no prompt contains the end token. Stateless, safe
 * for use by any thread.
 */
public final class Tokenizer {
    /** The token that ends an answer. */
    public static final int END_TOKEN = 0;

    private static final int RADIX = 36;
    private static final int BYTE_MASK = 0xff;

    private Tokenizer() {}

    /** Returns the tokens of a prompt: of the contents of its messages, joined by newlines. */
    public static long[] encode(List<String> contents) {
        byte[] bytes = String.join("\n", contents).getBytes(StandardCharsets.UTF_8);
        long[] tokens = new long[bytes.length];
        for (int i = 0; i < bytes.length; i++) {
            tokens[i] = (bytes[i] & BYTE_MASK) + 1L;
        }
        return tokens;
    }

    /** Returns the text of one generated token; empty for {@link #END_TOKEN}. */
    public static String decode(int token) {
        return token == END_TOKEN ? "" : "w" + Integer.toString(token, RADIX) + " ";
    }
}
