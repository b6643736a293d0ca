package org.cornelramp.core.step;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * State of one session at one stage: which inputs to run, which outputs are kept, and what to send to the next stage.
 *
 * <p>Confined to one thread. Invariants:
 * <ul>
 * <li>Each position is run at most once, and only after all positions before it: {@link #nextRun} returns only the next
 *     positions, and {@link #accept} drops inputs that were returned already. So a repeated or late step cannot run a
 *     layer twice, which would corrupt the KV cache without any error.
 * <li>Only inputs of the current epoch are accepted. After a stage was replaced, steps of the replaced one may still be
 *     in transit and would mix with those that its replacement sends.
 * <li>All outputs are kept until the session ends, so that a successor is rebuilt, or a broken link recovered, by
 *     sending outputs again and never by running inputs again.
 * </ul>
 *
 * <p>"At most once" applies to each KV cache: a replacement without an imported cache runs the positions from 0 in its
 * own new cache, once each and in order, and no other stage runs anything again.
 */
public final class StageSession {
    private static final int NOT_STARTED = -1;

    private final StageSpec spec;
    private int epoch;
    private int position;
    private int running;
    private boolean frozen;
    private boolean ended;
    private int sendStart = NOT_STARTED;
    private int sendNext = NOT_STARTED;
    /** Inputs from {@link #position} onwards; the engine is running the first {@link #running} of them. */
    private final LongSequence waiting = new LongSequence();

    private final LongSequence outputs = new LongSequence();
    private final TreeMap<Integer, long[]> earlyInputs = new TreeMap<>();
    private int earlyCount;

    /** Creates a session that has run nothing. */
    public StageSession(StageSpec spec, int epoch) {
        this.spec = spec;
        this.epoch = epoch;
    }

    /** Creates a session that continues from the snapshot that another agent exported. */
    public StageSession(StageSpec spec, int epoch, StageSnapshot from) {
        this(spec, epoch);
        if (from.position() != from.outputs().length || from.position() > spec.positionLimit()) {
            throw new IllegalArgumentException("A snapshot must have one output for each position before its own");
        }
        this.position = from.position();
        this.outputs.add(from.outputs(), 0, from.outputs().length);
    }

    /** Index of the stage in its pipeline, and the limits of the session. */
    public StageSpec spec() {
        return spec;
    }

    /** The epoch whose steps are accepted. */
    public int epoch() {
        return epoch;
    }

    /** The next position to run: all before it have run and their outputs are kept. */
    public int position() {
        return position;
    }

    /** Number of inputs that the engine is running. */
    public int running() {
        return running;
    }

    /** Number of inputs that wait to run. */
    public int waiting() {
        return waiting.size() - running;
    }

    /**
     * Switches to a higher epoch: steps of older ones are rejected from then on, and nothing is sent until
     * {@link #startSending(int, int)}. Waiting inputs are dropped, since the predecessor sends again from this position;
     * those that the engine is running are kept, since its KV cache will include them.
     *
     * @return whether the epoch is now that of the session; false if the session has a higher one
     */
    public boolean openEpoch(int newEpoch) {
        if (newEpoch < epoch) {
            return false;
        }
        if (newEpoch > epoch) {
            epoch = newEpoch;
            frozen = false;
            ended = false;
            waiting.truncate(running);
            earlyInputs.clear();
            earlyCount = 0;
            sendStart = NOT_STARTED;
            sendNext = NOT_STARTED;
        }
        return true;
    }

    /** Accepts inputs of consecutive positions. */
    public StepAcceptance accept(int stepEpoch, int from, long[] inputs) {
        if (stepEpoch != epoch) {
            return StepAcceptance.STALE;
        }
        if (from < 0) {
            return StepAcceptance.OUT_OF_RANGE;
        }
        int expected = nextExpected();
        if (from > expected) {
            return bufferEarly(from, inputs);
        }
        if (from + inputs.length <= expected) {
            return StepAcceptance.DUPLICATE;
        }
        StepAcceptance acceptance = append(inputs, expected - from);
        appendBuffered();
        return acceptance;
    }

    private int nextExpected() {
        return position + waiting.size();
    }

    private StepAcceptance append(long[] inputs, int skip) {
        int next = nextExpected();
        int end = skip;
        while (end < inputs.length && !ended) {
            if (next >= spec.positionLimit() || spec.isEnd(next, inputs[end])) {
                ended = true;
            } else {
                next++;
                end++;
            }
        }
        if (end == skip) {
            return StepAcceptance.ENDED;
        }
        waiting.add(inputs, skip, end);
        return StepAcceptance.ACCEPTED;
    }

    /**
     * Buffers inputs that arrive before those that precede them, up to the length of the session. There are two causes.
     * The first stage has two senders, the entry with the known tokens and the last stage with new ones, and after a
     * rebuild the last stage may be faster. And frames of a broken link may be read after the first frames of the new
     * link. In both cases the missing inputs are in transit: a link loses frames only when it breaks, and then its
     * sender sends them again.
     */
    private StepAcceptance bufferEarly(int from, long[] inputs) {
        if (from + inputs.length > spec.positionLimit() + 1 || earlyCount > spec.positionLimit()) {
            return StepAcceptance.OUT_OF_RANGE;
        }
        long[] buffered = earlyInputs.get(from);
        int bufferedCount = buffered == null ? 0 : buffered.length;
        if (inputs.length > bufferedCount) {
            earlyInputs.put(from, inputs);
            earlyCount += inputs.length - bufferedCount;
        }
        return StepAcceptance.EARLY;
    }

    private void appendBuffered() {
        while (!earlyInputs.isEmpty() && earlyInputs.firstKey() <= nextExpected()) {
            Map.Entry<Integer, long[]> first = earlyInputs.pollFirstEntry();
            earlyCount -= first.getValue().length;
            int skip = nextExpected() - first.getKey();
            if (skip < first.getValue().length) {
                append(first.getValue(), skip);
            }
        }
    }

    /** Whether {@link #nextRun} would return a batch. */
    public boolean isReady() {
        return !frozen && running == 0 && waiting() > 0;
    }

    /** Returns the next inputs to run, at most {@code max}; none while a batch runs, see {@link #completeRun}. */
    public Optional<InputBatch> nextRun(int max) {
        if (!isReady()) {
            return Optional.empty();
        }
        running = Math.min(max, waiting.size());
        return Optional.of(new InputBatch(position, waiting.copy(0, running)));
    }

    /** Returns the batch of {@link #nextRun} to the waiting inputs, after the engine reported that it did not run. */
    public void cancelRun() {
        running = 0;
    }

    /** Adds the outputs of the batch of {@link #nextRun}. */
    public void completeRun(long[] results) {
        if (results.length != running || running == 0) {
            throw new IllegalStateException("An engine must return one output for each input");
        }
        outputs.add(results, 0, results.length);
        waiting.dropFirst(running);
        position += running;
        running = 0;
    }

    /** Starts sending at a position, including outputs sent before; false if the epoch is not the current one. */
    public boolean startSending(int sendEpoch, int from) {
        if (sendEpoch != epoch || from < 0) {
            return false;
        }
        sendStart = from;
        sendNext = from;
        return true;
    }

    /** Sends everything of this epoch again, since frames in transit may be lost when a link breaks. */
    public void resendAll() {
        sendNext = sendStart;
    }

    /** Returns the next outputs to send, at most {@code max}; call {@link #markSent} once they are written to the link. */
    public Optional<OutputBatch> nextSend(int max) {
        if (sendNext == NOT_STARTED || sendNext >= position) {
            return Optional.empty();
        }
        int end = Math.min(position, sendNext + max);
        return Optional.of(new OutputBatch(sendNext, outputs.copy(sendNext, end)));
    }

    /** Records that outputs were written to the link. */
    public void markSent(OutputBatch send) {
        sendNext = send.position() + send.outputs().length;
    }

    /** Whether {@link #startSending(int, int)} was called in this epoch. */
    public boolean isSending() {
        return sendNext != NOT_STARTED;
    }

    /** Stops {@link #nextRun} from returning batches, so that the KV cache can be exported. */
    public void freeze() {
        frozen = true;
    }

    /** Whether the stage was frozen for export in this epoch. */
    public boolean isFrozen() {
        return frozen;
    }

    /** The state that a replacement needs besides the KV cache; only allowed while the engine runs nothing. */
    public StageSnapshot snapshot() {
        if (running > 0) {
            throw new IllegalStateException("A stage must not be exported during a step");
        }
        return new StageSnapshot(position, outputs.copy(0, position));
    }

    /** Whether the end token has reached the first stage, or the stage has run its last position. */
    public boolean isEnded() {
        return ended || position >= spec.positionLimit();
    }
}
