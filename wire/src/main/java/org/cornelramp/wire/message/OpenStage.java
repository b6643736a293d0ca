package org.cornelramp.wire.message;

import java.util.List;
import java.util.Optional;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.model.OrganisationId;
import org.cornelramp.core.model.ServiceName;

/**
 * Opens, or opens anew under a higher epoch, one stage of a pipeline session at its agent.
 *
 * <p>An agent that holds the session keeps its position and its kept outputs, refuses steps of older epochs
 * from then on, and answers {@link StageOpened} with its position.
 *
 * @param session number of the session, unique for the entry that chose it and drawn at random
 * @param epoch epoch of the session, from 1
 * @param requestId id of the request
 * @param organisation the caller's organisation
 * @param model the model
 * @param stage index of this stage in the pipeline, from 0
 * @param stages addresses of the agents of all stages in order, as host:port
 * @param incarnations the lives of those agents, in the same order
 * @param promptTokens tokens of the prompt
 * @param maxTokens most tokens to generate
 * @param priority 0 first to 9 last
 * @param budgetMillis time left until the deadline, in milliseconds
 * @param fingerprint fingerprint of the request
 * @param kv exported KV cache to start from; empty to start from nothing
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
