package org.cornelramp.core.routing;

import java.util.Optional;
import org.cornelramp.core.model.ServiceName;

/**
 * One service behind the router. Immutable, safe for use by any thread.
 *
 * @param name its name
 * @param maxConnections connections that one of its backend servers takes from all callers together
 * @param engine how its model engines work; empty for a plain service
 */
public record ServiceSpec(ServiceName name, int maxConnections, Optional<EngineSpec> engine) {}
