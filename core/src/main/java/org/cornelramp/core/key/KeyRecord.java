package org.cornelramp.core.key;

import java.util.Map;
import org.cornelramp.core.call.AgentReply;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.model.OrganisationId;

/** One record of the key stream of the log. Implementations are immutable and safe for use by any thread. */
public sealed interface KeyRecord {

    /**
     * Binds a caller-generated key to an incarnation; the first record of a key wins.
     *
     * @param key the key
     * @param organisation the organisation that sent it
     * @param incarnation the only agent incarnation that may run it
     * @param fingerprint fingerprint of the request
     */
    record Bind(String key, OrganisationId organisation, Incarnation incarnation, String fingerprint)
            implements KeyRecord {}

    /**
     * One part of the settlement that an agent writes at its planned stop.
     *
     * @param incarnation the incarnation that ended
     * @param part number of this part, from 0
     * @param parts number of parts
     * @param results the final result of each key in this part
     */
    record Settled(Incarnation incarnation, int part, int parts, Map<String, AgentReply> results) implements KeyRecord {

        public Settled {
            results = Map.copyOf(results);
        }
    }
}
