package org.cornelramp.core.call;

import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.model.Problem;

/** What a call wants done. Immutable. */
public sealed interface CallAction {

    /** Choose a backend server; those that failed the call are avoided. */
    record Choose() implements CallAction {}

    /** Hand the call to an agent. */
    record Send(Incarnation agent) implements CallAction {}

    /** Ask an agent, on its present link, what became of the key; a key that has not started must never run. */
    record Ask(Incarnation agent) implements CallAction {}

    /** Look on the log for what a planned stop of the agent settled. */
    record LookUp(Incarnation agent) implements CallAction {}

    /** Pass the answer to the caller. */
    record Answer(CallResult result) implements CallAction {}

    /** Tell the caller why there is no answer. */
    record Fail(Problem problem) implements CallAction {}
}
