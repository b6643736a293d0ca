package org.cornelramp.core.fleet;

import java.util.Optional;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.model.LayerRange;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.core.settings.HostPort;

/**
 * One life of a backend server, as its last registration says. Immutable, safe for use by any thread.
 *
 * @param id names this life; the next one has another id, so what is known of this one ends with it
 * @param name what the server calls itself; it may start again under the same name
 * @param service the service it belongs to
 * @param address where it takes requests
 * @param dataCentre where it runs
 * @param state whether it takes new work
 * @param slots requests that it runs at once
 * @param card kind of its accelerator card; empty for a plain service
 * @param layers layers of the model that it holds; empty if none
 */
public record BackendServer(
        BackendServerId id,
        BackendServerId name,
        ServiceName service,
        HostPort address,
        DataCentre dataCentre,
        ServerState state,
        int slots,
        String card,
        Optional<LayerRange> layers) {

    /** Whether it holds the layer. */
    public boolean holds(int layer) {
        return layers.filter(range -> range.from() <= layer && layer < range.to())
                .isPresent();
    }

    /** The same life with other layers. */
    public BackendServer withLayers(Optional<LayerRange> other) {
        return new BackendServer(id, name, service, address, dataCentre, state, slots, card, other);
    }

    /** The same life in another state. */
    public BackendServer withState(ServerState other) {
        return new BackendServer(id, name, service, address, dataCentre, other, slots, card, layers);
    }
}
