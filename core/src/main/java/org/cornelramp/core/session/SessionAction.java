package org.cornelramp.core.session;

import java.util.List;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.model.Problem;

/** What a session wants done. Immutable if the arrays are not changed. */
public sealed interface SessionAction {

    /** Open every stage under the epoch, in order. */
    record Open(int epoch, List<Incarnation> stages) implements SessionAction {}

    /** Tell a stage from which position on its successor lacks outputs. */
    record SendFrom(int epoch, int stage, int position) implements SessionAction {}

    /** Send input tokens to the first stage. */
    record Feed(int epoch, int position, long[] tokens) implements SessionAction {}

    /** Pass generated tokens to the caller; each is passed exactly once, in order. */
    record Emit(int[] tokens) implements SessionAction {}

    /** Choose a new pipeline; stages that still live may stay, the avoided ones may not. */
    record Rechoose(String why) implements SessionAction {}

    /** Release the session at an agent. */
    record Close(Incarnation agent, int epoch) implements SessionAction {}

    /** The answer is whole. */
    record Finish() implements SessionAction {}

    /** The answer cannot be completed. */
    record Fail(Problem problem) implements SessionAction {}
}
