package org.cornelramp.daemon.entry;

import java.util.List;
import org.cornelramp.core.model.ServiceName;

/**
 * One chat completion as its caller asked for it. Immutable, safe for use by any thread.
 *
 * @param model the model
 * @param contents contents of the messages, in order
 * @param maxTokens most tokens to generate
 * @param stream whether the answer is streamed
 */
record ChatRequest(ServiceName model, List<String> contents, int maxTokens, boolean stream) {

    ChatRequest {
        contents = List.copyOf(contents);
    }
}
