package org.cornelramp.bench.recovery;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Map;
import org.cornelramp.bench.fleet.Fleet;
import org.cornelramp.bench.fleet.Member;

/** Counts bookings that took effect more than once at the stand-in services. Stateless. */
final class DuplicateEffects {
    private DuplicateEffects() {}

    /** Returns the number of keys with more than one effect over all services. */
    static long count(Fleet fleet) {
        Map<String, Integer> byKey = new HashMap<>();
        for (Member service : fleet.services()) {
            for (JsonNode effect : fleet.trace(service.backendUrl())) {
                byKey.merge(effect.path("key").asText(), 1, Integer::sum);
            }
        }
        return byKey.values().stream().filter(count -> count > 1).count();
    }
}
