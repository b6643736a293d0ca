package org.cornelramp.core.step;

/** What a stage does with inputs that came. */
public enum StepVerdict {
    /** All or some are new and will run, each once. */
    TAKEN,
    /** Each has been run or waits already; nothing changes. */
    DUPLICATE,
    /** They belong to another epoch; nothing changes. */
    STALE,
    /** Inputs before them are missing; the stage cannot go on by itself. */
    GAP,
    /** The answer has ended, so they need not run. */
    ENDED
}
