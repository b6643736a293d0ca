package org.cornelramp.daemon.operator;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * One request to the operators' interface. Immutable, safe for use by any thread.
 *
 * @param pathSegments the segments of the path below the endpoint's path
 * @param query the parameters of the query string
 * @param body the body; empty if there is none
 */
record OperatorCall(List<String> pathSegments, Map<String, String> query, String body) {

    /** Returns a parameter of the query string. */
    Optional<String> parameter(String name) {
        return Optional.ofNullable(query.get(name));
    }
}
