package org.cornelramp.core.routing;

import java.util.List;
import org.cornelramp.core.model.ServiceName;

/**
 * One route: which requests match it, which services they go to, and their limits. Immutable, safe for use by any
 * thread.
 *
 * @param name name that operators assigned
 * @param host value of the requests' Host header, in lower case
 * @param pathPrefix prefix of the requests' path, with a slash at both ends
 * @param kind kind of its requests, which decides whether they may be retried
 * @param timeoutMillis maximum time until a request's final answer, in milliseconds
 * @param targetMillis time within which an answer, or a stream's first event, counts as on time, in milliseconds
 * @param gapMillis longest pause between two events of a stream that counts as on time, in milliseconds; 0 if not set
 * @param priority priority of its requests, 0 first
 * @param maxAttempts maximum number of backend servers that one request may be sent to
 * @param anonymous whether a request needs no key
 * @param resumable whether a broken stream may be resumed at another backend server
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
            throw new IllegalArgumentException("A route needs at least one service, add one; route=" + name);
        }
    }

    /** Whether a request may be sent again after an attempt that may have run. */
    public boolean mayRetry() {
        return kind.mayRetry(resumable);
    }

    /**
     * Selects the service for one request, by weight.
     *
     * @param draw a random number from 0 inclusive to 1 exclusive, the same for all attempts of a request
     */
    public ServiceName service(double draw) {
        double total = split.stream().mapToDouble(WeightedService::weight).sum();
        double left = draw * total;
        for (WeightedService weighted : split) {
            left -= weighted.weight();
            if (left < 0) {
                return weighted.service();
            }
        }
        return split.get(0).service();
    }
}
