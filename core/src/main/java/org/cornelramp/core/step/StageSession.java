package org.cornelramp.core.step;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * One session at one stage: which inputs run, which outputs are kept, and what is sent to the next stage.
 *
 * <p>Confined to one thread. Invariants:
 * <ul>
 * <li>Each position is given out to run at most once, and only after all before it: {@link #nextRun} gives the next
 *     position alone, and {@link #accept} drops what has been given out. So a repeated or late step cannot run a
 *     layer twice, which would spoil the KV cache without any error.
 * <li>Only inputs of the present epoch are accepted. After a stage was replaced, steps of its earlier life may still
 *     be on the way; they would mix with those that its replacement sends.
 * <li>All outputs are kept until the session ends, so that a successor is rebuilt, or a broken link repaired, by
 *     sending again and never by running again.
 * </ul>
 *
 * <p>"Once" is meant for each KV cache: a replacement without an imported cache runs the positions from 0 in its own
 * new cache, once each and in order, and no other stage runs anything again.
 */
public final class StageSession {
    private static final int NOT_SENDING = -1;

    private final StageShape shape;
    private int epoch;
    private int position;
    private int running;
    private boolean frozen;
    private boolean ended;
    private int sendFrom = NOT_SENDING;
    private int sendNext = NOT_SENDING;
    /** Inputs from {@link #position} on; the first {@link #running} of them are at the engine. */
    private final LongSequence waiting = new LongSequence();

    private final LongSequence outputs = new LongSequence();
    private final TreeMap<Integer, long[]> ahead = new TreeMap<>();
    private int aheadCount;

    /** A session that has run nothing. */
    public StageSession(StageShape shape, int epoch) {
        this.shape = shape;
        this.epoch = epoch;
    }

    /** A session that goes on from what another agent exported. */
    public StageSession(StageShape shape, int epoch, StageSnapshot from) {
        this(shape, epoch);
        if (from.position() != from.outputs().length || from.position() > shape.limit()) {
            throw new IllegalArgumentException("A snapshot holds one output for each position before its own");
        }
        this.position = from.position();
        this.outputs.add(from.outputs(), 0, from.outputs().length);
    }

    /** Where the stage stands in its pipeline. */
    public StageShape shape() {
        return shape;
    }

    /** The epoch whose steps are accepted. */
    public int epoch() {
        return epoch;
    }

    /** The next position to run: all before it have run and their outputs are kept. */
    public int position() {
        return position;
    }

    /** Inputs that are at the engine. */
    public int running() {
        return running;
    }

    /** Inputs that wait to run. */
    public int waiting() {
        return waiting.size() - running;
    }

    /**
     * Takes a higher epoch: from now on steps of older ones change nothing, and nothing is sent until
     * {@link #sendFrom}. Inputs that wait are dropped, since the predecessor sends again from this position; those
     * at the engine stay, as its KV cache moves on with them.
     *
     * @return whether the epoch is now that of the session; false if a higher one was taken before
     */
    public boolean open(int newEpoch) {
        if (newEpoch < epoch) {
            return false;
        }
        if (newEpoch > epoch) {
            epoch = newEpoch;
            frozen = false;
            ended = false;
            waiting.keepFirst(running);
            ahead.clear();
            aheadCount = 0;
            sendFrom = NOT_SENDING;
            sendNext = NOT_SENDING;
        }
        return true;
    }

    /** Takes inputs of consecutive positions. */
    public StepVerdict accept(int stepEpoch, int from, long[] inputs) {
        if (stepEpoch != epoch) {
            return StepVerdict.STALE;
        }
        if (from < 0) {
            return StepVerdict.GAP;
        }
        int expected = expected();
        if (from > expected) {
            return holdAhead(from, inputs);
        }
        if (from + inputs.length <= expected) {
            return StepVerdict.DUPLICATE;
        }
        StepVerdict verdict = append(inputs, expected - from);
        takeAhead();
        return verdict;
    }

    private int expected() {
        return position + waiting.size();
    }

    private StepVerdict append(long[] inputs, int skip) {
        int at = expected();
        int end = skip;
        while (end < inputs.length && !ended) {
            if (at >= shape.limit() || shape.isEnd(at, inputs[end])) {
                ended = true;
            } else {
                at++;
                end++;
            }
        }
        if (end == skip) {
            return StepVerdict.ENDED;
        }
        waiting.add(inputs, skip, end);
        return StepVerdict.TAKEN;
    }

    /**
     * Inputs may come before those that precede them, for two reasons. The first stage has two senders, the entry
     * with the tokens that it holds and the last stage with new ones, and after a rebuild the last may be quicker.
     * And frames of a link that broke may be read after the first ones of the new link. In both cases the missing
     * inputs are on their way: a link loses frames only when it breaks, and then its sender sends again. So early
     * inputs wait here, within the bound of the session.
     */
    private StepVerdict holdAhead(int from, long[] inputs) {
        if (from + inputs.length > shape.limit() + 1 || aheadCount > shape.limit()) {
            return StepVerdict.GAP;
        }
        long[] held = ahead.get(from);
        int heldCount = held == null ? 0 : held.length;
        if (inputs.length > heldCount) {
            ahead.put(from, inputs);
            aheadCount += inputs.length - heldCount;
        }
        return StepVerdict.EARLY;
    }

    private void takeAhead() {
        while (!ahead.isEmpty() && ahead.firstKey() <= expected()) {
            Map.Entry<Integer, long[]> first = ahead.pollFirstEntry();
            aheadCount -= first.getValue().length;
            int skip = expected() - first.getKey();
            if (skip < first.getValue().length) {
                append(first.getValue(), skip);
            }
        }
    }

    /** Whether {@link #nextRun} would give something. */
    public boolean isReady() {
        return !frozen && running == 0 && waiting() > 0;
    }

    /** Gives out the next inputs to run, at most {@code max}; {@link #ran} must follow before the next are given. */
    public Optional<StepRun> nextRun(int max) {
        if (!isReady()) {
            return Optional.empty();
        }
        running = Math.min(max, waiting.size());
        return Optional.of(new StepRun(position, waiting.copy(0, running)));
    }

    /** Takes back what {@link #nextRun} gave, since the engine said that it did not run it. */
    public void putBack() {
        running = 0;
    }

    /** Keeps the outputs of what {@link #nextRun} gave. */
    public void ran(long[] results) {
        if (results.length != running || running == 0) {
            throw new IllegalStateException("An engine gives one output for each input");
        }
        outputs.add(results, 0, results.length);
        waiting.dropFirst(running);
        position += running;
        running = 0;
    }

    /** Sends outputs from a position on, kept ones again; false if the epoch is not the present one. */
    public boolean sendFrom(int sendEpoch, int from) {
        if (sendEpoch != epoch || from < 0) {
            return false;
        }
        sendFrom = from;
        sendNext = from;
        return true;
    }

    /** Sends again all that this epoch has sent: the link broke, and what was on the way may be lost. */
    public void sendAgain() {
        sendNext = sendFrom;
    }

    /** The next outputs to send, at most {@code max}; {@link #sent} follows once they are on the link. */
    public Optional<StepSend> nextSend(int max) {
        if (sendNext == NOT_SENDING || sendNext >= position) {
            return Optional.empty();
        }
        int end = Math.min(position, sendNext + max);
        return Optional.of(new StepSend(sendNext, outputs.copy(sendNext, end)));
    }

    /** Notes that outputs are on the link. */
    public void sent(StepSend send) {
        sendNext = send.position() + send.outputs().length;
    }

    /** Whether {@link #sendFrom} came in this epoch. */
    public boolean isSending() {
        return sendNext != NOT_SENDING;
    }

    /** Gives out nothing to run from now on, so that the KV cache can be exported. */
    public void freeze() {
        frozen = true;
    }

    /** Whether the stage was frozen for export in this epoch. */
    public boolean isFrozen() {
        return frozen;
    }

    /** What a replacement needs beside the KV cache; only while nothing is at the engine. */
    public StageSnapshot snapshot() {
        if (running > 0) {
            throw new IllegalStateException("A stage is exported between steps");
        }
        return new StageSnapshot(position, outputs.copy(0, position));
    }

    /** Whether the first stage has seen the end of the answer, or any stage its last position. */
    public boolean isEnded() {
        return ended || position >= shape.limit();
    }
}
