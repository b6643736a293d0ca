package org.cornelramp.core.placement;

import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.model.LayerRange;

/**
 * An order to an engine to hold a range of layers. Immutable, safe for use by any thread.
 *
 * @param server the engine
 * @param layers the layers that it is to hold
 */
public record Placement(BackendServer server, LayerRange layers) {}
