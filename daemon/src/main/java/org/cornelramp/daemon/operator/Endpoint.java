package org.cornelramp.daemon.operator;

import io.vavr.control.Either;
import org.cornelramp.core.model.Problem;

/** Answers one kind of request to the operators' interface. Called by one thread at a time; may block. */
@FunctionalInterface
interface Endpoint {

    /** Returns the document to answer with, or the problem that prevents it. */
    Either<Problem, Object> answer(OperatorCall call) throws InterruptedException;
}
