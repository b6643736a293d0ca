package org.cornelramp.daemon.operator;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * One call of an operator. Immutable, safe for use by any thread.
 *
 * @param tail the segments of the path below the endpoint's own
 * @param query the query's parameters
 * @param body the body; empty if there is none
 */
record OperatorCall(List<String> tail, Map<String, String> query, String body) {

    /** A parameter of the query. */
    Optional<String> parameter(String name) {
        return Optional.ofNullable(query.get(name));
    }
}
