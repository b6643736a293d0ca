package org.cornelramp.core.routing;

import org.cornelramp.core.model.ServiceName;

/**
 * A service with its share of a route's requests. Immutable, safe for use by any thread.
 *
 * @param service the service
 * @param weight share of the requests relative to the other services of the route; not negative
 */
public record WeightedService(ServiceName service, double weight) {}
