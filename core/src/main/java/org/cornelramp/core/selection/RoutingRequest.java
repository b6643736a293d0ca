package org.cornelramp.core.selection;

import java.time.Instant;
import java.util.Set;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.model.ServiceName;

/**
 * The properties of one request that matter to the choice of backend servers. Immutable, safe for use by any thread.
 *
 * @param service the model or plain service
 * @param promptTokens tokens of the prompt; 0 for a plain service
 * @param maxTokens maximum number of tokens to generate; 0 for a plain service
 * @param deadline time by which the answer must be complete
 * @param prefixHash hash of the prompt's prefix, to find an engine that has it cached; empty if there is none
 * @param excludedAgents agents that have failed this request or are known to be unable to serve it
 */
public record RoutingRequest(
        ServiceName service,
        int promptTokens,
        int maxTokens,
        Instant deadline,
        String prefixHash,
        Set<Incarnation> excludedAgents) {}
