package org.cornelramp.wire.message;

import java.util.Optional;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.model.OrganisationId;

/**
 * Asks an agent to make one call to the plain service beside it.
 *
 * <p>The agent runs a key at most once per incarnation and answers a repeat from its record.
 *
 * @param call number of this call on this link, echoed in the {@link InvokeResult}
 * @param requestId id of the request, for logs and explanations
 * @param organisation the caller's organisation
 * @param idempotent whether the call may be repeated
 * @param key idempotency key; empty for an idempotent call without one
 * @param bound the incarnation that the key is bound to; another incarnation refuses the call
 * @param priority from 0, the highest, to 9
 * @param budgetMillis time left until the deadline, in milliseconds, measured when the message is sent
 * @param method HTTP method
 * @param path path and query for the service
 * @param contentType media type of the body; empty if there is none
 * @param body the request body
 * @param fingerprint fingerprint of the request, used to set aside requests that crash backend servers
 */
public record Invoke(
        long call,
        String requestId,
        OrganisationId organisation,
        boolean idempotent,
        Optional<String> key,
        Optional<Incarnation> bound,
        int priority,
        long budgetMillis,
        String method,
        String path,
        String contentType,
        byte[] body,
        String fingerprint)
        implements Message {}
