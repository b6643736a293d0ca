package org.cornelramp.cli.log;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * One line of a gateway's log. Immutable, safe for use by any thread.
 *
 * @param millis time of day
 * @param process the gateway that wrote it
 * @param part the part of the gateway
 * @param event what happened
 * @param fields all fields of the line
 */
public record LogLine(long millis, String process, String part, String event, JsonNode fields) {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Set<String> HEAD = Set.of("time", "process", "part", "event");

    /** Reads a line; empty if it is none of a gateway's. What stands before the opening brace is ignored. */
    public static Optional<LogLine> parse(String text) {
        int begin = text.indexOf('{');
        if (begin < 0) {
            return Optional.empty();
        }
        try {
            JsonNode node = JSON.readTree(text.substring(begin));
            boolean own = node.hasNonNull("time") && node.hasNonNull("part") && node.hasNonNull("event");
            return own ? Optional.of(of(node)) : Optional.empty();
        } catch (JsonProcessingException e) {
            return Optional.empty(); // a line of a library, or one that was cut by a crash
        }
    }

    private static LogLine of(JsonNode node) {
        return new LogLine(
                node.get("time").asLong(),
                node.path("process").asText(),
                node.get("part").asText(),
                node.get("event").asText(),
                node);
    }

    /** Whether it tells of this. */
    boolean is(String wantedPart, String wantedEvent) {
        return part.equals(wantedPart) && event.equals(wantedEvent);
    }

    /** A field as text; empty if the line lacks it. */
    String text(String name) {
        return fields.path(name).asText();
    }

    /** What it says beside its head, as {@code name=value}. */
    public String facts() {
        List<String> facts = new ArrayList<>();
        fields.fields().forEachRemaining(field -> {
            String value = field.getValue().asText();
            if (!HEAD.contains(field.getKey()) && !value.isEmpty()) {
                facts.add(field.getKey() + "=" + value);
            }
        });
        return facts.stream().collect(Collectors.joining(" "));
    }
}
