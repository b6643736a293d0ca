package org.cornelramp.core.placement;

import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.model.LayerRange;

/**
 * An engine with the layers that it shall hold. Immutable, safe for use by any thread.
 *
 * @param server the engine
 * @param layers the layers
 */
public record Placement(BackendServer server, LayerRange layers) {}
