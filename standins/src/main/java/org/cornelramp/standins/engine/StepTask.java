package org.cornelramp.standins.engine;

import java.util.concurrent.CompletableFuture;

/** One step that is queued or running, possibly over several iterations. Guarded by the lock of {@link EngineLoop}. */
final class StepTask implements Comparable<StepTask> {
    final EngineMessages.Step step;
    final CompletableFuture<EngineMessages.Result> result = new CompletableFuture<>();
    private final long sequence;
    private final long[] outputs;
    private int completedInputs;
    private int cachedInputs;
    private boolean started;

    StepTask(EngineMessages.Step step, long seq) {
        this.step = step;
        this.sequence = seq;
        this.outputs = new long[step.inputs().length];
    }

    @Override
    public int compareTo(StepTask other) {
        int order = Integer.compare(step.priority(), other.step.priority());
        return order != 0 ? order : Long.compare(sequence, other.sequence);
    }

    boolean isStarted() {
        return started;
    }

    /** Marks the task as started and sets the number of leading inputs that the prefix cache saves. */
    void start(int inputsInCache) {
        started = true;
        cachedInputs = inputsInCache;
    }

    /** Number of inputs that the next iteration runs. */
    int nextChunkSize(int maxInputs) {
        return Math.min(outputs.length - completedInputs, Math.max(maxInputs, cachedInputs - completedInputs + 1));
    }

    /** Number of inputs of the next iteration that are not cached and therefore cost time. */
    int uncachedInputs(int maxInputs) {
        return Math.max(0, completedInputs + nextChunkSize(maxInputs) - Math.max(completedInputs, cachedInputs));
    }

    long nextInput() {
        return step.inputs()[completedInputs];
    }

    int nextPosition() {
        return step.position() + completedInputs;
    }

    void addOutput(long output) {
        outputs[completedInputs++] = output;
    }

    boolean isDone() {
        return completedInputs == outputs.length;
    }

    long[] outputs() {
        return outputs;
    }
}
