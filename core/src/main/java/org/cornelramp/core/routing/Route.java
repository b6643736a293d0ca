package org.cornelramp.core.routing;

import java.util.List;
import org.cornelramp.core.model.ServiceName;

/**
 * One route: which requests it takes, where they go, and within which limits. Immutable, safe for use by any thread.
 *
 * @param name name that operators gave it
 * @param host value of the requests' Host header, in lower case
 * @param pathPrefix prefix of the requests' path, with a slash at both ends
 * @param kind what may be repeated
 * @param timeoutMillis longest time until a request's final answer
 * @param targetMillis time within which an answer, or a stream's first event, is on time
 * @param gapMillis longest pause between two events of a stream that is still on time; 0 if none is set
 * @param priority rank of its requests, 0 first
 * @param maxAttempts most backend servers that one request may be sent to
 * @param anonymous whether a request needs no key
 * @param resumable whether a broken stream may go on at another backend server
 * @param split the services that its requests go to; not empty
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RouteKind kind,
        long timeoutMillis,
        long targetMillis,
        long gapMillis,
        int priority,
        int maxAttempts,
        boolean anonymous,
        boolean resumable,
        List<WeightedService> split) {

    public Route {
        split = List.copyOf(split);
        if (split.isEmpty()) {
            throw new IllegalArgumentException("A route needs a service, name one; route=" + name);
        }
    }

    /** Whether a request may be sent again after an attempt that may have run. */
    public boolean mayRepeat() {
        return kind.mayRepeat(resumable);
    }

    /**
     * The service of one request.
     *
     * @param draw a number from 0 up to but without 1, the same for all attempts of a request
     */
    public ServiceName service(double draw) {
        double total = split.stream().mapToDouble(WeightedService::weight).sum();
        double left = draw * total;
        for (WeightedService one : split) {
            left -= one.weight();
            if (left < 0) {
                return one.service();
            }
        }
        return split.get(0).service();
    }
}
