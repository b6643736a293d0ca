package org.cornelramp.core.routing;

import java.util.Optional;
import org.cornelramp.core.model.ServiceName;

/**
 * One service behind the router. Immutable, safe for use by any thread.
 *
 * @param name name of the service
 * @param maxConnections connections that one of its backend servers accepts from all callers together
 * @param healthPath path at which a backend server says how it is; empty if the configuration names none
 * @param engine size and speed of its model engines; empty for a plain service
 */
public record ServiceSpec(ServiceName name, int maxConnections, String healthPath, Optional<EngineSpec> engine) {}
