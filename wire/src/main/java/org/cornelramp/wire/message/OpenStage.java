package org.cornelramp.wire.message;

import java.util.List;
import java.util.Optional;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.model.OrganisationId;
import org.cornelramp.core.model.ServiceName;

/**
 * Opens one stage of a pipeline session at its agent, or reopens it under a higher epoch.
 *
 * <p>An agent that already has the session keeps its position and retained outputs, refuses steps of older epochs
 * from then on, and answers with a {@link StageOpened} that states its position.
 *
 * @param session number of the session, chosen at random and unique for its entry
 * @param epoch epoch of the session, from 1
 * @param requestId id of the request
 * @param organisation the caller's organisation
 * @param model the model
 * @param stage index of this stage in the pipeline, from 0
 * @param stages addresses of the agents of all stages in order, as host:port
 * @param incarnations the incarnations of those agents, in the same order
 * @param promptTokens tokens of the prompt
 * @param maxTokens maximum number of tokens to generate
 * @param priority from 0, the highest, to 9
 * @param budgetMillis time left until the deadline, in milliseconds
 * @param fingerprint fingerprint of the request
 * @param kv exported KV cache to start from; empty to start without one
 */
public record OpenStage(
        long session,
        int epoch,
        String requestId,
        OrganisationId organisation,
        ServiceName model,
        int stage,
        List<String> stages,
        List<Incarnation> incarnations,
        int promptTokens,
        int maxTokens,
        int priority,
        long budgetMillis,
        String fingerprint,
        Optional<byte[]> kv)
        implements Message {}
