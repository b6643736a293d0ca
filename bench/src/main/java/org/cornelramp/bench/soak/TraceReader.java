package org.cornelramp.bench.soak;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cornelramp.bench.fleet.Fleet;
import org.cornelramp.bench.fleet.FleetException;
import org.cornelramp.bench.fleet.Member;

/**
 * Reads from the trace files what engines and services executed, across restarts of their processes. Stateless, safe
 * for use by any thread.
 */
public final class TraceReader {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private TraceReader() {}

    /** Number of times that each body took effect at the plain services. */
    public static Map<String, Integer> effects(Fleet fleet) {
        Map<String, Integer> effects = new HashMap<>();
        for (Member service : fleet.services()) {
            for (JsonNode line : lines(fleet.traceFile(service.name()))) {
                effects.merge(line.path("event").path("body").asText(), 1, Integer::sum);
            }
        }
        return effects;
    }

    /** The steps that all engines ran, those of each engine in order. */
    public static List<RanStep> steps(Fleet fleet) {
        List<RanStep> steps = new ArrayList<>();
        for (Member stage : fleet.stages()) {
            for (JsonNode line : lines(fleet.traceFile(stage.name()))) {
                JsonNode event = line.path("event");
                if (event.has("session")) {
                    steps.add(new RanStep(
                            line.path("life").asText(),
                            event.path("session").asText(),
                            event.path("epoch").asInt(),
                            event.path("layerFrom").asInt(),
                            event.path("position").asInt(),
                            event.path("count").asInt()));
                }
            }
        }
        return steps;
    }

    private static List<JsonNode> lines(Path file) {
        List<JsonNode> lines = new ArrayList<>();
        try {
            for (String line : Files.exists(file) ? Files.readAllLines(file) : List.<String>of()) {
                lines.add(MAPPER.readTree(line));
            }
        } catch (IOException e) {
            throw new FleetException("Could not read " + file, e);
        }
        return lines;
    }
}
