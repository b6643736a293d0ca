package org.cornelramp.gateway.route;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cornelramp.platform.MoveFault;
import org.cornelramp.platform.PlatformFault;

/** The answers that an engine may give to an order to move a request. Stateless. */
final class MoveAnswers {
    /** An engine refuses the order. */
    static final PlatformFault CONFLICT = new PlatformFault(PlatformFault.Kind.CONFLICT, "status 409");

    /** An engine does not answer. */
    static final PlatformFault NO_ANSWER = new PlatformFault(PlatformFault.Kind.NO_ANSWER, "no answer");

    private MoveAnswers() {}

    /** All answers; an order may be refused without a reason or because of each of the engines. */
    static List<Either<MoveFault, byte[]>> of(List<SimulatedServer> engines) {
        List<Either<MoveFault, byte[]>> answers = new ArrayList<>();
        answers.add(Either.right(new byte[0]));
        answers.add(Either.left(new MoveFault(CONFLICT, Optional.empty())));
        answers.add(Either.left(new MoveFault(NO_ANSWER, Optional.empty())));
        for (SimulatedServer engine : engines) {
            answers.add(Either.left(
                    new MoveFault(CONFLICT, Optional.of(engine.current().address()))));
        }
        return answers;
    }
}
