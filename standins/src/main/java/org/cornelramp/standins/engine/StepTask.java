package org.cornelramp.standins.engine;

import java.util.concurrent.CompletableFuture;

/** One step that waits or runs, perhaps over several iterations. Confined to the engine's lock. */
final class StepTask implements Comparable<StepTask> {
    final EngineMessages.Step step;
    final CompletableFuture<EngineMessages.Result> result = new CompletableFuture<>();
    private final long seq;
    private final long[] outputs;
    private int done;
    private int saved;
    private boolean started;

    StepTask(EngineMessages.Step step, long seq) {
        this.step = step;
        this.seq = seq;
        this.outputs = new long[step.inputs().length];
    }

    @Override
    public int compareTo(StepTask other) {
        int order = Integer.compare(step.priority(), other.step.priority());
        return order != 0 ? order : Long.compare(seq, other.seq);
    }

    boolean isStarted() {
        return started;
    }

    /** Marks the task as started, with a number of inputs that the prefix cache saves. */
    void start(int savedInputs) {
        started = true;
        saved = savedInputs;
    }

    /** Inputs that the next iteration runs. */
    int nextInputs(int most) {
        return Math.min(outputs.length - done, Math.max(most, saved - done + 1));
    }

    /** Inputs of the next iteration that cost time. */
    int costly(int most) {
        return Math.max(0, done + nextInputs(most) - Math.max(done, saved));
    }

    long nextInput() {
        return step.inputs()[done];
    }

    int nextPosition() {
        return step.position() + done;
    }

    void add(long output) {
        outputs[done++] = output;
    }

    boolean isDone() {
        return done == outputs.length;
    }

    long[] outputs() {
        return outputs;
    }
}
