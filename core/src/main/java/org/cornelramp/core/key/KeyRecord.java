package org.cornelramp.core.key;

import java.util.Map;
import org.cornelramp.core.call.AgentWord;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.model.OrganisationId;

/** One record of the log stream of keys. Implementations are immutable and safe for use by any thread. */
public sealed interface KeyRecord {

    /**
     * Binds a caller's own key to an incarnation; the first record of a key wins.
     *
     * @param key the key
     * @param organisation the organisation that sent it
     * @param incarnation the only agent life that may run it
     * @param fingerprint fingerprint of the request
     */
    record Bind(String key, OrganisationId organisation, Incarnation incarnation, String fingerprint)
            implements KeyRecord {}

    /**
     * One part of what an agent settled at its planned stop.
     *
     * @param incarnation the life that ended
     * @param part number of this part
     * @param parts number of parts
     * @param results the final word on each key of this part
     */
    record Settled(Incarnation incarnation, int part, int parts, Map<String, AgentWord> results) implements KeyRecord {

        public Settled {
            results = Map.copyOf(results);
        }
    }
}
