package org.cornelramp.core.fleet;

import java.util.Optional;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.model.LayerRange;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.core.settings.HostPort;

/**
 * One incarnation of a backend server, as given by its latest registration. Immutable, safe for use by any thread.
 *
 * <p>A server may restart under the same name. Its next incarnation has another id, so state that is kept by id does not
 * carry over.
 *
 * @param id identifies this incarnation
 * @param name name of the server, which it keeps over restarts
 * @param service the service it belongs to
 * @param address where it accepts requests
 * @param dataCentre where it runs
 * @param state whether it accepts new work
 * @param slots requests that it runs concurrently
 * @param card kind of its accelerator card; empty for a plain service
 * @param layers layers of the model that it holds; empty if none
 * @param coldRemainingMillis time after the registration for which it is slower because it has just started, in
 *     milliseconds; 0 if it is not
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
        Optional<LayerRange> layers,
        long coldRemainingMillis) {
    /** Creates a server that is not cold. */
    public BackendServer(
            BackendServerId id,
            BackendServerId name,
            ServiceName service,
            HostPort address,
            DataCentre dataCentre,
            ServerState state,
            int slots,
            String card,
            Optional<LayerRange> layers) {
        this(id, name, service, address, dataCentre, state, slots, card, layers, 0);
    }

    /** Whether it holds the layer. */
    public boolean holds(int layer) {
        return layers.filter(range -> range.from() <= layer && layer < range.to())
                .isPresent();
    }

    /** Returns a copy with other layers. */
    public BackendServer withLayers(Optional<LayerRange> other) {
        return new BackendServer(
                id, name, service, address, dataCentre, state, slots, card, other, coldRemainingMillis);
    }

    /** Returns a copy in another state. */
    public BackendServer withState(ServerState other) {
        return new BackendServer(
                id, name, service, address, dataCentre, other, slots, card, layers, coldRemainingMillis);
    }

    /** Returns a copy with another time for which it is cold. */
    public BackendServer withColdRemainingMillis(long other) {
        return new BackendServer(id, name, service, address, dataCentre, state, slots, card, layers, other);
    }
}
