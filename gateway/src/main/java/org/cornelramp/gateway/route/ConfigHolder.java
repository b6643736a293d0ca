package org.cornelramp.gateway.route;

import java.util.ArrayList;
import java.util.List;
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
    private final List<Runnable> waiting = new ArrayList<>();

    /** Takes a version if it is newer; true if it was. */
    public boolean offer(RoutingConfig config) {
        RoutingConfig before =
                current.getAndUpdate(old -> old == null || config.version() > old.version() ? config : old);
        if (before == null) {
            takeWaiting().forEach(Runnable::run);
        }
        return before == null || config.version() > before.version();
    }

    private synchronized List<Runnable> takeWaiting() {
        List<Runnable> all = List.copyOf(waiting);
        waiting.clear();
        return all;
    }

    /** Calls back when there is a configuration, at once if there is one; the callback must not block. */
    public void whenKnown(Runnable callback) {
        synchronized (this) {
            if (current.get() == null) {
                waiting.add(callback);
                return;
            }
        }
        callback.run();
    }

    /** The configuration in force; empty before the first. */
    public Optional<RoutingConfig> current() {
        return Optional.ofNullable(current.get());
    }
}
