package org.cornelramp.core.placement;

import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.model.LayerRange;

/**
 * An order to an engine to hold a range of layers. Immutable, safe for use by any thread.
 *
 * @param server the engine
 * @param layers the layers that it is to hold
 * @param additional whether the order only relieves a slow engine, so that it counts against the limit of such loads
 */
public record Placement(BackendServer server, LayerRange layers, boolean additional) {
    /** Creates an order that fills an empty engine or a gap. */
    public Placement(BackendServer server, LayerRange layers) {
        this(server, layers, false);
    }
}
