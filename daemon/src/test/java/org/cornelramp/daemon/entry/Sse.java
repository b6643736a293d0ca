package org.cornelramp.daemon.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

/** Parses server-sent events on the caller side. */
final class Sse {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String DATA = "data: ";
    private static final String DONE = "[DONE]";

    private Sse() {}

    /** Returns the text of all events, in order. */
    static String text(String body) throws JsonProcessingException {
        StringBuilder text = new StringBuilder();
        for (String line : body.lines().toList()) {
            if (line.startsWith(DATA) && !line.endsWith(DONE)) {
                text.append(JSON.readTree(line.substring(DATA.length()))
                        .at("/choices/0/delta/content")
                        .asText(""));
            }
        }
        return text.toString();
    }

    /** Whether the stream ends with the marker of a complete answer. */
    static boolean isComplete(String body) {
        return body.endsWith(DATA + DONE + "\n\n");
    }

    /** Whether the stream contains an error event. */
    static boolean isFailed(String body) {
        return body.contains("event: error\n");
    }
}
