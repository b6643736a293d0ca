package org.cornelramp.wire.message;

/**
 * Tells a stage to send its outputs from a position onwards to the next stage; retained outputs are resent without
 * being computed again. Sent by the entry to every stage once all have answered {@link StageOpened}.
 *
 * @param session the session
 * @param epoch the epoch
 * @param position first position that the next stage has not run; for the last stage, the position whose
 *     output is the first token that the entry has not received
 */
public record SendFrom(long session, int epoch, int position) implements Message {}
