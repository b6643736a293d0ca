package org.cornelramp.systemtests;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cornelramp.bench.fleet.Fleet;
import org.cornelramp.bench.fleet.FleetPlan;
import org.cornelramp.bench.fleet.JsonHttp;
import org.cornelramp.bench.fleet.Member;

/**
 * Reads and edits the table row of the first organisation for the booking service, over the operators' interface.
 * Stateless.
 */
final class TableEdits {
    private static final Map<String, String> OPERATOR = Map.of("Authorization", "Bearer " + Fleet.OPERATOR_KEY);
    private static final String ROW = "org-0/" + FleetPlan.SERVICE;

    private TableEdits() {}

    /** The row as an entry returns it. */
    static JsonNode row(Fleet fleet, Member entry) {
        String url = entry.url() + "/operator/v1/table/" + ROW;
        JsonHttp.Answer answer = fleet.http().send("GET", url, OPERATOR, "");
        return fleet.http().read(answer.body());
    }

    static int weight(Fleet fleet, Member entry) {
        return row(fleet, entry).path("values").path("weight").asInt();
    }

    /** Edits the weight if the row still has the expected version; returns the kind of the result or of the error. */
    static String editWeight(Fleet fleet, Member entry, long expectedVersion, int weight) {
        Map<String, Object> edit = new HashMap<>();
        edit.put("organisation", "org-0");
        edit.put("service", FleetPlan.SERVICE);
        edit.put("against", expectedVersion);
        edit.put("values", Fleet.rowValues(0, weight));
        Map<String, Object> request = Map.of("id", "test-" + weight, "by", "test", "edits", List.of(edit));
        JsonHttp.Answer answer = fleet.http().send("POST", entry.url() + "/operator/v1/edits", OPERATOR, json(request));
        JsonNode body = fleet.http().read(answer.body());
        return body.path("results")
                .path(0)
                .path("kind")
                .asText(body.path("kind").asText());
    }

    private static String json(Object value) {
        try {
            return new ObjectMapper().writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("A map of plain values is always JSON", e);
        }
    }
}
