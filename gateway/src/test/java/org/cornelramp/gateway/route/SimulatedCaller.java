package org.cornelramp.gateway.route;

import java.util.List;
import java.util.Optional;

/**
 * Who has sent a request to a {@link PoisonFleet}. Immutable, safe for use by any thread.
 *
 * @param poisons what crashes servers in it; empty for other callers
 * @param status status with which each server answers it; empty if that depends on the server
 */
record SimulatedCaller(List<PoisonFleet.Poison> poisons, Optional<Integer> status) {
    SimulatedCaller {
        poisons = List.copyOf(poisons);
    }

    SimulatedCaller(List<PoisonFleet.Poison> poisons) {
        this(poisons, Optional.empty());
    }
}
