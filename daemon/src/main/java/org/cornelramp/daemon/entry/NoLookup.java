package org.cornelramp.daemon.entry;

import java.util.Optional;
import org.cornelramp.core.model.Incarnation;

/** Finds nothing. Confined to the router's thread. */
final class NoLookup implements SettledLookup {
    Router router;

    @Override
    public void lookUp(Incarnation agent, String key, long call) {
        router.run(now -> router.lookedUp(call, Optional.empty(), now));
    }
}
