package org.cornelramp.core.step;

/** How a stage handles inputs that it receives. */
public enum StepAcceptance {
    /** Some or all inputs are new and will run, each once. */
    ACCEPTED,
    /** All inputs were received before; the state is unchanged. */
    DUPLICATE,
    /** The inputs belong to another epoch; the state is unchanged. */
    STALE,
    /** The inputs are buffered until the preceding ones, which are in transit, arrive. */
    EARLY,
    /** The inputs are at positions that the session cannot reach or cannot buffer, which indicates a faulty sender. */
    OUT_OF_RANGE,
    /** The answer has ended, so the inputs are not run. */
    ENDED
}
