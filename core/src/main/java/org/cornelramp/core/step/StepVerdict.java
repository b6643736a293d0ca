package org.cornelramp.core.step;

/** What a stage does with inputs that came. */
public enum StepVerdict {
    /** All or some are new and will run, each once. */
    TAKEN,
    /** Each has been run or waits already; nothing changes. */
    DUPLICATE,
    /** They belong to another epoch; nothing changes. */
    STALE,
    /** They wait for those before them, which are on their way. */
    EARLY,
    /** They are beyond any position that the session can reach; something is wrong with their sender. */
    GAP,
    /** The answer has ended, so they need not run. */
    ENDED
}
