package org.cornelramp.daemon.entry;

import java.util.List;
import org.cornelramp.core.model.ServiceName;

/**
 * A chat completion request as received from its caller. Immutable, safe for use by any thread.
 *
 * @param model the model
 * @param messages contents of the messages, in order
 * @param maxTokens maximum number of tokens to generate
 * @param stream whether the answer is streamed
 */
record ChatRequest(ServiceName model, List<String> messages, int maxTokens, boolean stream) {

    ChatRequest {
        messages = List.copyOf(messages);
    }
}
