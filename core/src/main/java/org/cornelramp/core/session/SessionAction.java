package org.cornelramp.core.session;

import java.util.List;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.model.Problem;

/** An action that a session asks its caller to perform. Immutable as long as the arrays are not modified. */
public sealed interface SessionAction {

    /** Open every stage in the epoch, in order. */
    record Open(int epoch, List<Incarnation> stages) implements SessionAction {}

    /** Tell a stage the first position whose output its successor lacks. */
    record SendFrom(int epoch, int stage, int position) implements SessionAction {}

    /** Send input tokens to the first stage. */
    record Feed(int epoch, int position, long[] tokens) implements SessionAction {}

    /** Pass generated tokens to the caller; each is passed exactly once, in order. */
    record Emit(int[] tokens) implements SessionAction {}

    /** Choose new stages; live ones may be chosen again, those of {@link PipelineSession#failedAgents()} may not. */
    record SelectStages(String reason) implements SessionAction {}

    /** Release the session at an agent. */
    record Close(Incarnation agent, int epoch) implements SessionAction {}

    /** The answer is complete. */
    record Finish() implements SessionAction {}

    /** The answer cannot be completed. */
    record Fail(Problem problem) implements SessionAction {}
}
