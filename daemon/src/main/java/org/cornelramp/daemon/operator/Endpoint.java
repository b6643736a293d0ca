package org.cornelramp.daemon.operator;

import io.vavr.control.Either;
import org.cornelramp.core.model.Problem;

/** Answers one kind of operators' call. Called by one thread at a time; may wait. */
@FunctionalInterface
interface Endpoint {

    /** Gives the document of the answer, or why there is none. */
    Either<Problem, Object> answer(OperatorCall call) throws InterruptedException;
}
