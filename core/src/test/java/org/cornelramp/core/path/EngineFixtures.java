package org.cornelramp.core.path;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.fleet.ServerState;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.model.LayerRange;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.core.routing.CardKind;
import org.cornelramp.core.routing.EngineSpec;
import org.cornelramp.core.settings.HostPort;

/** Engines and specifications for tests, with the figures of the two deployments. */
public final class EngineFixtures {
    /** Layers of the deployed model. */
    public static final int LAYERS = 80;

    private EngineFixtures() {}

    /**
     * The deployed model on the deployed cards.
     *
     * @param crossMbps bandwidth of the link between data centres; 0 for no limit
     */
    public static EngineSpec spec(double crossMbps) {
        return new EngineSpec(
                134,
                LAYERS,
                1_750,
                845_373,
                0.85,
                0.00547,
                0.00734,
                196,
                14,
                772,
                172,
                crossMbps,
                42_268,
                List.of(
                        new CardKind("h100", 72_000, 1.4, 1),
                        new CardKind("a100s", 36_000, 3.1, 3.2),
                        new CardKind("l4", 21_600, 16, 8.2),
                        new CardKind("t4", 14_400, 15, 15)));
    }

    /** An engine that holds layers, or none if {@code from} is not below {@code to}. */
    public static BackendServer engine(String id, String dataCentre, String card, int from, int to) {
        Optional<LayerRange> layers = from < to ? Optional.of(new LayerRange(from, to, LAYERS)) : Optional.empty();
        return new BackendServer(
                new BackendServerId(id),
                new BackendServerId(id),
                new ServiceName("llm"),
                new HostPort("10.0.0.1", 1 + Math.floorMod(id.hashCode(), 60_000)),
                new DataCentre(dataCentre),
                ServerState.READY,
                134,
                card,
                layers);
    }

    /** A request of the usual size from a data centre. */
    public static PathFinder.Demand demand(String dataCentre) {
        return new PathFinder.Demand(new DataCentre(dataCentre), 772, 944, Set.of());
    }
}
