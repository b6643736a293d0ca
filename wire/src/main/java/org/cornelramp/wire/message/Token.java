package org.cornelramp.wire.message;

/**
 * Carries generated tokens from the last stage to the entry. Immutable, safe for use by any thread.
 *
 * @param session the session
 * @param epoch the epoch
 * @param position position whose output is the first of these tokens; the prompt's last position gives the
 *     first generated token
 * @param tokens token numbers
 */
public record Token(long session, int epoch, int position, int[] tokens) implements Message {}
