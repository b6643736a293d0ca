package org.cornelramp.gateway.route;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.cornelramp.core.routing.RoutingConfig;

/**
 * The configuration in force. Safe for use by any thread.
 *
 * <p>Invariant: its version never falls. A read that was under way while a newer version came must not bring the
 * older one back, or a key that was taken away would open again.
 */
public final class ConfigHolder {
    private final AtomicReference<RoutingConfig> current = new AtomicReference<>();

    /** Takes a version if it is newer; true if it was. */
    public boolean offer(RoutingConfig config) {
        RoutingConfig before =
                current.getAndUpdate(old -> old == null || config.version() > old.version() ? config : old);
        return before == null || config.version() > before.version();
    }

    /** The configuration in force; empty before the first. */
    public Optional<RoutingConfig> current() {
        return Optional.ofNullable(current.get());
    }
}
