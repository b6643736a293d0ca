package org.cornelramp.core.route;

import java.time.Instant;
import java.util.Set;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.model.ServiceName;

/**
 * One request as the choice sees it. Immutable, safe for use by any thread.
 *
 * @param service the model or plain service
 * @param promptTokens tokens of the prompt; 0 for a plain service
 * @param maxTokens most tokens to generate; 0 for a plain service
 * @param deadline when the whole answer must be there
 * @param prefix hash of the prompt's prefix, to find a warm cache; empty if there is none
 * @param avoid agents that have failed this request or are known to be unfit for it
 */
public record Work(
        ServiceName service,
        int promptTokens,
        int maxTokens,
        Instant deadline,
        String prefix,
        Set<Incarnation> avoid) {}
