package org.cornelramp.core.call;

import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.model.Problem;

/** An action that the state machine of a call requests from its owner. Immutable. */
public sealed interface CallAction {

    /** Choose a backend server, excluding those that failed the call. */
    record Choose() implements CallAction {}

    /** Hand the call to an agent. */
    record Send(Incarnation agent) implements CallAction {}

    /** Ask an agent, over its current link, for the result of the key; a key that has not started must never run. */
    record Ask(Incarnation agent) implements CallAction {}

    /** Look up on the log what the agent settled at a planned stop. */
    record LookUp(Incarnation agent) implements CallAction {}

    /** Pass the answer to the caller. */
    record Answer(CallResult result) implements CallAction {}

    /** Report to the caller why there is no answer. */
    record Fail(Problem problem) implements CallAction {}
}
