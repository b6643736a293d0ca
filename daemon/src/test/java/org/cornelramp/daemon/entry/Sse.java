package org.cornelramp.daemon.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

/** Reads server-sent events as a caller would. */
final class Sse {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String DATA = "data: ";
    private static final String DONE = "[DONE]";

    private Sse() {}

    /** The text of all events, in order. */
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

    /** Whether the stream says that it is complete. */
    static boolean isComplete(String body) {
        return body.endsWith(DATA + DONE + "\n\n");
    }

    /** Whether the stream says that it failed. */
    static boolean isFailed(String body) {
        return body.contains("event: error\n");
    }
}
