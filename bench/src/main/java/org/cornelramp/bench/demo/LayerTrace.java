package org.cornelramp.bench.demo;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.cornelramp.bench.fleet.Fleet;
import org.cornelramp.bench.fleet.Member;

/** What the engines of a fleet ran for one session, as text. Immutable, safe for use by any thread. */
final class LayerTrace {
    private final List<String> lines;

    private LayerTrace(List<String> lines) {
        this.lines = lines;
    }

    /** Reads the steps of the newest session from the given engines, all of which must answer. */
    static LayerTrace ofNewest(Fleet fleet, List<Member> stages) {
        String session = "";
        long newest = -1;
        for (Member stage : stages) {
            for (JsonNode event : fleet.trace(stage.backendUrl())) {
                if (event.path("at").asLong() > newest) {
                    newest = event.path("at").asLong();
                    session = event.path("session").asText();
                }
            }
        }
        List<String> lines = new ArrayList<>();
        for (Member stage : stages) {
            addRuns(lines, fleet, stage, session);
        }
        return new LayerTrace(lines);
    }

    /** One line for each engine and epoch. */
    List<String> lines() {
        return lines;
    }

    private static void addRuns(List<String> lines, Fleet fleet, Member stage, String session) {
        int epoch = -1;
        int first = 0;
        int next = 0;
        JsonNode last = null;
        for (JsonNode event : fleet.trace(stage.backendUrl())) {
            if (!event.path("session").asText().equals(session)) {
                continue;
            }
            if (last != null && event.path("epoch").asInt() != epoch) {
                lines.add(line(stage, last, first, next));
                last = null;
            }
            if (last == null) {
                first = event.path("position").asInt();
            }
            epoch = event.path("epoch").asInt();
            next = event.path("position").asInt() + event.path("count").asInt();
            last = event;
        }
        if (last != null) {
            lines.add(line(stage, last, first, next));
        }
    }

    private static String line(Member stage, JsonNode event, int first, int next) {
        return String.format(
                "%-8s layers %2d to %2d, epoch %d: positions %d to %d",
                stage.name(),
                event.path("layerFrom").asInt(),
                event.path("layerTo").asInt(),
                event.path("epoch").asInt(),
                first,
                next - 1);
    }
}
