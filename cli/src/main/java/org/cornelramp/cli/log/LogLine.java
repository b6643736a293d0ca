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
 * @param timeMillis value of the field {@code time}, in milliseconds
 * @param process the gateway that wrote the line
 * @param part the component of the gateway
 * @param event the name of the event
 * @param fields all fields of the line
 */
public record LogLine(long timeMillis, String process, String part, String event, JsonNode fields) {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Set<String> HEADER_FIELDS = Set.of("time", "process", "part", "event");

    /** Parses a line; empty if it is not a gateway's log line. Text before the opening brace is ignored. */
    public static Optional<LogLine> parse(String text) {
        int begin = text.indexOf('{');
        if (begin < 0) {
            return Optional.empty();
        }
        try {
            JsonNode node = JSON.readTree(text.substring(begin));
            boolean isGatewayLine = node.hasNonNull("time") && node.hasNonNull("part") && node.hasNonNull("event");
            return isGatewayLine ? Optional.of(fromJson(node)) : Optional.empty();
        } catch (JsonProcessingException e) {
            return Optional.empty(); // a line of a library, or one that was truncated by a crash
        }
    }

    private static LogLine fromJson(JsonNode node) {
        return new LogLine(
                node.get("time").asLong(),
                node.path("process").asText(),
                node.get("part").asText(),
                node.get("event").asText(),
                node);
    }

    /** Whether the line reports the given event of the given part. */
    boolean isEvent(String wantedPart, String wantedEvent) {
        return part.equals(wantedPart) && event.equals(wantedEvent);
    }

    /** A field as text; empty if the line lacks it. */
    String fieldText(String name) {
        return fields.path(name).asText();
    }

    /** The non-empty fields other than time, process, part and event, as {@code name=value}. */
    public String facts() {
        List<String> facts = new ArrayList<>();
        fields.fields().forEachRemaining(field -> {
            String value = field.getValue().asText();
            if (!HEADER_FIELDS.contains(field.getKey()) && !value.isEmpty()) {
                facts.add(field.getKey() + "=" + value);
            }
        });
        return facts.stream().collect(Collectors.joining(" "));
    }
}
