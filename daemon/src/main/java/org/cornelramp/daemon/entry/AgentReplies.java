package org.cornelramp.daemon.entry;

import java.time.Duration;
import org.cornelramp.core.call.AgentReply;
import org.cornelramp.core.call.CallResult;
import org.cornelramp.core.model.Outcome;
import org.cornelramp.core.model.Problem;
import org.cornelramp.core.model.ProblemKind;
import org.cornelramp.wire.message.InvokeResult;

/** Converts result messages of agents to {@link AgentReply}. */
final class AgentReplies {
    private AgentReplies() {}

    static AgentReply from(InvokeResult result) {
        if (result.outcome() == Outcome.ANSWERED) {
            return AgentReply.of(new CallResult(result.status(), result.contentType(), result.body()));
        }
        ProblemKind kind = result.kind().orElse(ProblemKind.BACKEND_FAILED);
        Duration wait = Duration.ofMillis(Math.max(0, result.retryAfterMillis()));
        return AgentReply.of(new Problem(kind, result.outcome(), result.detail(), wait));
    }
}
